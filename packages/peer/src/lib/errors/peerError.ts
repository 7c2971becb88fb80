/** Base class of errors of calls between instances. @public */
export class PeerError extends Error {
  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}
