import { lookUp } from '@wisterialift/schema';
import { z } from 'zod';

/** Reason for the failure of a command. @public */
export type ClientErrorCode =
  | 'usage'
  | 'settings'
  | 'outdated'
  | 'invalid'
  | 'unknown'
  | 'unreachable'
  | 'unauthorised'
  | 'notFound'
  | 'refused';

/** Process exit codes, documented in docs/OPERATIONS.md. @public */
export const EXIT_CODES: Record<ClientErrorCode, number> = {
  usage: 2,
  settings: 3,
  outdated: 4,
  invalid: 5,
  unknown: 6,
  unreachable: 7,
  unauthorised: 8,
  notFound: 9,
  refused: 10,
};

const errorResponseSchema = z.object({
  error: z.looseObject({
    code: z.string(),
    message: z.string(),
    faults: z.array(z.object({ path: z.string(), reason: z.string() })).optional(),
  }),
});

/** A command failure, with a code for scripts and a message for users. @public */
export class ClientError extends Error {
  readonly code: ClientErrorCode;

  /**
   * Fields added to the error in the JSON output, such as the error object of the administration
   * API; empty if there are none.
   */
  readonly details: object;

  constructor(code: ClientErrorCode, message: string, details: object = {}) {
    super(message);
    this.name = 'ClientError';
    this.code = code;
    this.details = details;
  }

  /** Converts an error response of the administration API. */
  static fromErrorResponse(response: unknown, address: string): ClientError {
    const parsed = errorResponseSchema.safeParse(response);
    if (!parsed.success) return new ClientError('refused', `${address}: refused without a reason`);
    const { error } = parsed.data;
    const faults = error.faults?.map(({ path, reason }) => `\n  ${path}: ${reason}`).join('') ?? '';
    return new ClientError(toClientErrorCode(error.code), `${error.message}${faults}`, error);
  }
}

/** Client error codes by error code of the administration API. */
const CLIENT_ERROR_CODES: Record<string, ClientErrorCode> = {
  outdated: 'outdated',
  invalid: 'invalid',
  badRequest: 'invalid',
  unauthorised: 'unauthorised',
  notFound: 'notFound',
};

function toClientErrorCode(code: string): ClientErrorCode {
  return lookUp(CLIENT_ERROR_CODES, code) ?? 'refused';
}
