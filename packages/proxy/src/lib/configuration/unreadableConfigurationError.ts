/** The object at the platform is not a configuration that this version understands. @internal */
export class UnreadableConfigurationError extends Error {
  constructor(options?: ErrorOptions) {
    super('the configuration object at the platform does not pass the schema', options);
    this.name = 'UnreadableConfigurationError';
  }
}
