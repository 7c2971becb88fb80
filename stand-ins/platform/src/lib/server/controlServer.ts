import fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import { faultChangesSchema } from '../fault/faults';
import type { Faults } from '../fault/faults';
import type { CallCounter } from './callCounter';
import { answerBadRequest } from './answerBadRequest';

/** The server on which faults are switched and calls are read. */
export function createControlServer(options: {
  faults: Faults;
  calls: CallCounter;
}): FastifyInstance {
  const { faults, calls } = options;
  const server = fastify({ forceCloseConnections: true });
  server.setErrorHandler(answerBadRequest);
  server.put('/faults', async (request) => {
    faults.change(faultChangesSchema.parse(request.body));
    return faults.state();
  });
  server.get('/calls', async () => calls.counts());
  server.get('/health', async () => ({ status: 'up', ...faults.state() }));
  return server;
}
