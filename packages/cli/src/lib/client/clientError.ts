import { z } from 'zod';

/** Why a command failed. @public */
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

/** Exit code of the process for each reason; documented in docs/OPERATIONS.md. @public */
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

const errorAnswerSchema = z.object({
  error: z.looseObject({
    code: z.string(),
    message: z.string(),
    faults: z.array(z.object({ path: z.string(), reason: z.string() })).optional(),
  }),
});

/** An error of the command line: a code for scripts and a message for people. @public */
export class ClientError extends Error {
  readonly code: ClientErrorCode;

  /** The error object of the administration API, where it sent one. */
  readonly details: object;

  constructor(code: ClientErrorCode, message: string, details: object = {}) {
    super(message);
    this.name = 'ClientError';
    this.code = code;
    this.details = details;
  }

  /** Turns an error object of the administration API into an error of the command line. */
  static fromAnswer(answer: unknown, address: string): ClientError {
    const parsed = errorAnswerSchema.safeParse(answer);
    if (!parsed.success) return new ClientError('refused', `${address}: refused without a reason`);
    const { error } = parsed.data;
    const faults = error.faults?.map(({ path, reason }) => `\n  ${path}: ${reason}`).join('') ?? '';
    return new ClientError(toClientCode(error.code), `${error.message}${faults}`, error);
  }
}

/** Codes of the administration API that mean the same on the command line. */
const CLIENT_CODES: Record<string, ClientErrorCode> = {
  outdated: 'outdated',
  invalid: 'invalid',
  badRequest: 'invalid',
  unauthorised: 'unauthorised',
  notFound: 'notFound',
};

function toClientCode(code: string): ClientErrorCode {
  return CLIENT_CODES[code] ?? 'refused';
}
