/** Base of the errors of the platform's client. @public */
export class PlatformError extends Error {
  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}
