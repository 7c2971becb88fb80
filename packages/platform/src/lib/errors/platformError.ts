/** Base class of the platform client's errors. @public */
export class PlatformError extends Error {
  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}
