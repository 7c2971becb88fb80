/** A file of keys or certificates that the settings name cannot be used. @public */
export class TlsFileError extends Error {
  /** Dotted path of the settings key. */
  readonly setting: string;

  constructor(setting: string, reason: string) {
    super(`${setting}: ${reason}`);
    this.name = 'TlsFileError';
    this.setting = setting;
  }
}
