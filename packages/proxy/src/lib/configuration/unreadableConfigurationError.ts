/** The configuration object at the platform does not pass the schema of this version. @internal */
export class UnreadableConfigurationError extends Error {
  constructor(options?: ErrorOptions) {
    super('the configuration object at the platform does not pass the schema', options);
    this.name = 'UnreadableConfigurationError';
  }
}
