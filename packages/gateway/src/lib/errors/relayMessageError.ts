/** A message of another instance that cannot be understood. */
export class RelayMessageError extends Error {
  override readonly name = 'RelayMessageError';
}
