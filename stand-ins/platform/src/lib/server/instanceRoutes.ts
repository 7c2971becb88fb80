import { instanceSchema } from '@wisterialift/schema';
import type { FastifyInstance } from 'fastify';
import { z } from 'zod';
import type { Faults } from '../fault/faults';
import type { InstanceList } from '../instance/instanceList';
import type { CallCounter } from './callCounter';

const instancePathSchema = z.object({ name: z.string().min(1) });

/** What the routes of the instance list need. */
export interface InstanceRoutesOptions {
  instances: InstanceList;
  faults: Faults;
  calls: CallCounter;
}

/** Adds the instance list to a server. */
export function addInstanceRoutes(server: FastifyInstance, options: InstanceRoutesOptions): void {
  const { instances, faults, calls } = options;

  server.get('/instances', async () => {
    calls.count('listInstances');
    return { instances: instances.list(faults.state().instanceLagMilliseconds) };
  });

  server.put('/instances/:name', async (request, reply) => {
    calls.count('putInstance');
    const { name } = instancePathSchema.parse(request.params);
    const instance = instanceSchema.parse(request.body);
    if (instance.name !== name) return reply.code(400).send({ error: 'names differ' });
    instances.put(instance);
    return {};
  });

  server.delete('/instances/:name', async (request) => {
    calls.count('removeInstance');
    instances.remove(instancePathSchema.parse(request.params).name);
    return {};
  });
}
