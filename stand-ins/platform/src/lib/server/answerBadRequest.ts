import type { FastifyError, FastifyReply, FastifyRequest } from 'fastify';
import { ZodError } from 'zod';

/** Answers 400 with the faults of a request that did not pass its schema, else the error's code. */
export function answerBadRequest(
  error: FastifyError | ZodError,
  request: FastifyRequest,
  reply: FastifyReply,
): FastifyReply {
  if (error instanceof ZodError) return reply.code(400).send({ error: error.message });
  return reply.code(error.statusCode ?? 500).send({ error: error.message });
}
