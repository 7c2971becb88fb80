/** No connection to a member became available before the deadline. */
export class NoConnectionError extends Error {
  override readonly name = 'NoConnectionError';
}
