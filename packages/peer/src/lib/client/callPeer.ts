import { Metadata, status } from '@grpc/grpc-js';
import type { CallOptions, ClientUnaryCall, ServiceError } from '@grpc/grpc-js';
import { PeerAnswerError } from '../errors/peerAnswerError';
import { PeerUnavailableError } from '../errors/peerUnavailableError';

/** A generated method of a unary call. */
type UnaryMethod<Request, Answer> = (
  request: Request,
  metadata: Metadata,
  options: Partial<CallOptions>,
  callback: (error: ServiceError | null, answer: Answer) => void,
) => ClientUnaryCall;

/** Status codes of calls without an answer; the peer may have received the message. */
const UNAVAILABLE_CODES = new Set([status.UNAVAILABLE, status.DEADLINE_EXCEEDED, status.CANCELLED]);

/**
 * Makes one call with a deadline.
 *
 * @throws PeerUnavailableError, PeerAnswerError
 */
export function callPeer<Request, Answer>(options: {
  method: UnaryMethod<Request, Answer>;
  request: Request;
  deadlineMilliseconds: number;
}): Promise<Answer> {
  const { method, request, deadlineMilliseconds } = options;
  const deadline = Date.now() + deadlineMilliseconds;
  return new Promise((resolve, reject) => {
    method(request, new Metadata(), { deadline }, (error, answer) => {
      if (error) reject(toPeerError(error));
      else resolve(answer);
    });
  });
}

function toPeerError(error: ServiceError): Error {
  if (UNAVAILABLE_CODES.has(error.code)) {
    return new PeerUnavailableError(error.message, { cause: error });
  }
  return new PeerAnswerError(error.message, { cause: error });
}
