/** A relay message from another instance is malformed. */
export class RelayMessageError extends Error {
  override readonly name = 'RelayMessageError';
}
