/** Error codes of the administration API. @public */
export type AdministrationErrorCode =
  | 'unauthorised'
  | 'notFound'
  | 'badRequest'
  | 'outdated'
  | 'invalid'
  | 'noConfiguration'
  | 'platformUnavailable'
  | 'internal';

const STATUS_BY_CODE: Record<AdministrationErrorCode, number> = {
  unauthorised: 401,
  notFound: 404,
  badRequest: 400,
  outdated: 409,
  invalid: 422,
  noConfiguration: 503,
  platformUnavailable: 503,
  internal: 500,
};

/** An error that the administration API returns as `{ error: { code, message, … } }`. @public */
export class AdministrationError extends Error {
  readonly code: AdministrationErrorCode;

  readonly statusCode: number;

  /** Additional fields of the error object, such as the current configuration number. */
  readonly details: object;

  constructor(code: AdministrationErrorCode, message: string, details: object = {}) {
    super(message);
    this.name = 'AdministrationError';
    this.code = code;
    this.statusCode = STATUS_BY_CODE[code];
    this.details = details;
  }
}
