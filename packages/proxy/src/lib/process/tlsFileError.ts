/** A key or certificate file that the settings name cannot be used. @public */
export class TlsFileError extends Error {
  /** Dotted path of the setting. */
  readonly setting: string;

  constructor(setting: string, reason: string) {
    super(`${setting}: ${reason}`);
    this.name = 'TlsFileError';
    this.setting = setting;
  }
}
