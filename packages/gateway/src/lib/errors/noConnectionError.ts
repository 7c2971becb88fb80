/** No connection could be had in the time that was left. */
export class NoConnectionError extends Error {
  override readonly name = 'NoConnectionError';
}
