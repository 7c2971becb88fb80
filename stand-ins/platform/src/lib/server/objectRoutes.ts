import type { FastifyInstance, FastifyReply } from 'fastify';
import { z } from 'zod';
import type { Faults } from '../fault/faults';
import type { ObjectStore, ObjectUpdate, StoredObject } from '../object/objectStore';
import type { Watches } from '../object/watches';
import type { CallCounter } from './callCounter';

const objectPathSchema = z.object({ kind: z.string().min(1), name: z.string().min(1) });
const kindPathSchema = z.object({ kind: z.string().min(1) });
const watchQuerySchema = z.object({
  after: z.coerce.number().int().min(0).optional(),
  waitMilliseconds: z.coerce.number().int().min(0).max(600_000).default(0),
});
const updateBodySchema = z.strictObject({
  expectedVersion: z.number().int().min(0),
  value: z.unknown(),
});

/** What the routes of the object API need. */
export interface ObjectRoutesOptions {
  objects: ObjectStore;
  watches: Watches;
  faults: Faults;
  calls: CallCounter;
}

/** Adds the object API to a server. */
export function addObjectRoutes(server: FastifyInstance, options: ObjectRoutesOptions): void {
  const { objects, watches, faults, calls } = options;

  server.get('/objects/:kind', async (request) => {
    calls.count('listObjects');
    const { kind } = kindPathSchema.parse(request.params);
    return { objects: objects.list(kind) };
  });

  server.get('/objects/:kind/:name', async (request, reply) => {
    const key = objectPathSchema.parse(request.params);
    const { after, waitMilliseconds } = watchQuerySchema.parse(request.query);
    calls.count(after === undefined ? 'getObject' : 'watchObject');
    const present = objects.get(key);
    if (after === undefined) return answerObject(reply, present, 404);
    if (present && present.version > after) return present;
    const signal = signalOfClose(reply);
    return answerObject(
      reply,
      await watches.wait({ ...key, after, waitMilliseconds, signal }),
      304,
    );
  });

  server.put('/objects/:kind/:name', async (request, reply) => {
    calls.count('putObject');
    const key = objectPathSchema.parse(request.params);
    const update: ObjectUpdate = { ...key, ...updateBodySchema.parse(request.body) };
    const { status, version } = objects.update(update);
    if (faults.takeLostAnswer()) return cutConnection(reply);
    return reply.code(status === 'stored' ? 200 : 409).send({ version });
  });
}

function answerObject(
  reply: FastifyReply,
  object: StoredObject | undefined,
  codeWithout: number,
): FastifyReply {
  if (object) return reply.send(object);
  return codeWithout === 304
    ? reply.code(304).send()
    : reply.code(codeWithout).send({ error: 'no such object' });
}

/** Aborted when the connection closes, so that a cut watch leaves nothing behind. */
function signalOfClose(reply: FastifyReply): AbortSignal {
  const controller = new AbortController();
  reply.raw.once('close', () => controller.abort());
  return controller.signal;
}

/** Ends the connection without an answer, as a lost answer shows itself to the client. */
function cutConnection(reply: FastifyReply): FastifyReply {
  reply.hijack();
  reply.raw.destroy();
  return reply;
}
