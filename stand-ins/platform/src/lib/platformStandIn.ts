import { setTimeout as sleep } from 'node:timers/promises';
import fastify from 'fastify';
import type { FastifyInstance } from 'fastify';
import { createFaults } from './fault/faults';
import type { FaultChanges, Faults } from './fault/faults';
import { createInstanceList } from './instance/instanceList';
import { createObjectStore } from './object/objectStore';
import { createWatches } from './object/watches';
import { answerBadRequest } from './server/answerBadRequest';
import { createCallCounter } from './server/callCounter';
import type { CallCounts } from './server/callCounter';
import { createControlServer } from './server/controlServer';
import { addInstanceRoutes } from './server/instanceRoutes';
import { addObjectRoutes } from './server/objectRoutes';
import { trackOpenConnections } from './server/openConnections';

/** @public */
export interface PlatformStandInOptions {
  host: string;
  /** 0 for any free port. */
  port: number;
  controlPort: number;
}

/** Where a stand-in listens. @public */
export interface PlatformStandInPorts {
  port: number;
  controlPort: number;
}

/** @public */
export interface PlatformStandIn {
  start: () => Promise<PlatformStandInPorts>;
  stop: () => Promise<void>;
  changeFaults: (changes: FaultChanges) => void;
  calls: () => CallCounts;
}

/** Largest value of an object and its envelope, in bytes. */
const BODY_LIMIT_BYTES = 1_100_000;

/**
 * A small platform in memory: objects with versions and watches, and the lagging instance list.
 *
 * @example
 * const platform = createPlatformStandIn({ host: '127.0.0.1', port: 0, controlPort: 0 });
 * const { port } = await platform.start();
 * platform.changeFaults({ outage: true });
 *
 * @public
 */
export function createPlatformStandIn(options: PlatformStandInOptions): PlatformStandIn {
  const server = fastify({ forceCloseConnections: true, bodyLimit: BODY_LIMIT_BYTES });
  const connections = trackOpenConnections(server.server);
  const calls = createCallCounter();
  const watches = createWatches();
  const objects = createObjectStore({ onChange: watches.onChange });
  const instances = createInstanceList({ now: () => performance.now() });
  const faults = createFaults({ onOutage: connections.cutAll });
  const controlServer = createControlServer({ faults, calls });

  server.setErrorHandler(answerBadRequest);
  addFaults(server, faults);
  addObjectRoutes(server, { objects, watches, faults, calls });
  addInstanceRoutes(server, { instances, faults, calls });

  async function start(): Promise<PlatformStandInPorts> {
    const { host } = options;
    await server.listen({ host, port: options.port });
    await controlServer.listen({ host, port: options.controlPort });
    return { port: listeningPort(server), controlPort: listeningPort(controlServer) };
  }

  async function stop(): Promise<void> {
    watches.endAll();
    connections.cutAll();
    await Promise.all([server.close(), controlServer.close()]);
  }

  return { start, stop, changeFaults: faults.change, calls: calls.counts };
}

/**
 * Lets every call of the platform itself feel a delay or an outage.
 *
 * The delay comes after the body was read: a caller that gives up meanwhile does not prevent the
 * change, as with a real platform that is slow.
 */
function addFaults(server: FastifyInstance, faults: Faults): void {
  server.addHook('preHandler', async (request, reply) => {
    const { delayMilliseconds } = faults.state();
    if (delayMilliseconds > 0) await sleep(delayMilliseconds, undefined, { ref: false });
    if (!faults.state().outage) return undefined;
    return reply.code(503).send({ error: 'outage' });
  });
}

function listeningPort(server: FastifyInstance): number {
  const address = server.server.address();
  if (address === null || typeof address === 'string') {
    throw new Error('the server does not listen');
  }
  return address.port;
}
