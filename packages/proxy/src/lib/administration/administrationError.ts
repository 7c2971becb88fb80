/** Codes of errors that the administration API answers with. @public */
export type AdministrationErrorCode =
  | 'unauthorised'
  | 'notFound'
  | 'badRequest'
  | 'outdated'
  | 'invalid'
  | 'noConfiguration'
  | 'platformUnavailable'
  | 'internal';

/** HTTP status of each error code. */
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

/** An error that the administration API turns into an object with a code. @public */
export class AdministrationError extends Error {
  readonly code: AdministrationErrorCode;

  readonly statusCode: number;

  /** Further fields of the error object, such as the present configuration number. */
  readonly details: object;

  constructor(code: AdministrationErrorCode, message: string, details: object = {}) {
    super(message);
    this.name = 'AdministrationError';
    this.code = code;
    this.statusCode = STATUS_BY_CODE[code];
    this.details = details;
  }
}
