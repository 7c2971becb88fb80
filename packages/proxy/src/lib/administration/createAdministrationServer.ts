import { timingSafeEqual } from 'node:crypto';
import type { AddressInfo } from 'node:net';
import type { PatchOutcome } from '@wisterialift/core';
import { configurationPatchSchema } from '@wisterialift/schema';
import type { Configuration, ConfigurationObject, Settings } from '@wisterialift/schema';
import fastify from 'fastify';
import type { FastifyInstance, FastifyRequest } from 'fastify';
import { AdministrationError } from './administrationError';
import type { AdministrationSources } from './administrationSources';

/** @public */
export interface AdministrationServer {
  /** Starts to listen and answers with the address that was bound. */
  listen: () => Promise<{ host: string; port: number }>;
  close: () => Promise<void>;
}

/** @public */
export interface AdministrationServerOptions {
  settings: Settings;
  sources: AdministrationSources;
  /** Called for an error that is a fault of the program, not of the request. */
  onFault: (error: Error) => void;
}

const REDACTED = '(redacted)';

/**
 * Creates the administration API: HTTP with JSON bodies, a bearer token, errors as
 * `{ error: { code, message, … } }`.
 *
 * @public
 */
export function createAdministrationServer(
  options: AdministrationServerOptions,
): AdministrationServer {
  const { settings, sources, onFault } = options;
  const server = fastify({ logger: false, forceCloseConnections: true });

  server.addHook('onRequest', async (request) => {
    checkToken(request, settings.administration.token);
  });
  server.setErrorHandler((error, _request, reply) => {
    const known = toAdministrationError(error as Error & { statusCode?: number });
    if (known.code === 'internal') onFault(error as Error);
    const { code, message, details, statusCode } = known;
    return reply.status(statusCode).send({ error: { code, message, ...details } });
  });
  server.setNotFoundHandler(async (request) => {
    throw new AdministrationError('notFound', `nothing answers ${request.method} ${request.url}`);
  });
  addStatusRoutes(server, sources);
  addConfigurationRoutes(server, sources);
  addInstanceRoutes(server, sources);

  async function listen(): Promise<{ host: string; port: number }> {
    const { host, port } = settings.administration;
    await server.listen({ host, port });
    const bound = server.server.address() as AddressInfo;
    return { host: bound.address, port: bound.port };
  }

  return { listen, close: () => server.close() };
}

function addStatusRoutes(server: FastifyInstance, sources: AdministrationSources): void {
  server.get('/v1/status', async () => sources.status());
  server.get('/v1/burn', async () => sources.burn());
  server.get('/v1/latencies', async () => ({ latencies: sources.latencies() }));
  server.get('/v1/groups', async () => ({ groups: sources.status().groups }));
  server.get<{ Params: { name: string } }>('/v1/groups/:name', async ({ params }) => {
    const view = sources.status().groups.find(({ group }) => group === params.name);
    if (!view) throw new AdministrationError('notFound', `no group is named "${params.name}"`);
    return view;
  });
}

function addConfigurationRoutes(server: FastifyInstance, sources: AdministrationSources): void {
  server.get('/v1/configuration', async () => {
    const { number, configuration } = requireConfiguration(sources);
    return { number, configuration: redactPasswords(configuration) };
  });
  server.get('/v1/configuration/history', async () => ({ patches: sources.history() }));
  server.post('/v1/configuration/patches', async (request, reply) => {
    const parsed = configurationPatchSchema.safeParse(request.body);
    if (!parsed.success) throw describeBadPatch(parsed.error.issues);
    const outcome = acceptedOrThrow(await sources.submitPatch(parsed.data));
    const { patchId } = parsed.data;
    return reply.status(outcome.status === 'unknown' ? 202 : 200).send({ ...outcome, patchId });
  });
  server.get<{ Params: { id: string }; Querystring: { against?: string } }>(
    '/v1/configuration/patches/:id',
    async ({ params, query }) => sources.findPatch(params.id, parseAgainst(query.against)),
  );
}

function parseAgainst(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  if (/^\d+$/.test(text)) return Number(text);
  throw new AdministrationError('badRequest', `against: "${text}" is not a number`);
}

function addInstanceRoutes(server: FastifyInstance, sources: AdministrationSources): void {
  server.get('/v1/instances', async () => ({ instances: sources.instances() }));
  server.post<{ Params: { name: string } }>(
    '/v1/instances/:name/drain',
    async ({ params }, reply) => {
      const instance = sources.instances().find(({ name }) => name === params.name);
      if (!instance) {
        throw new AdministrationError('notFound', `no instance is named "${params.name}"`);
      }
      await sources.drainInstance(instance);
      return reply.status(202).send({ instance: instance.name, state: 'leaving' });
    },
  );
}

/**
 * Compares the bearer token in constant time, so that its characters cannot be guessed one by one
 * from the time that an answer takes.
 */
function checkToken(request: FastifyRequest, expected: string): void {
  const given = Buffer.from(request.headers.authorization ?? '');
  const wanted = Buffer.from(`Bearer ${expected}`);
  if (given.length === wanted.length && timingSafeEqual(given, wanted)) return;
  throw new AdministrationError('unauthorised', 'a bearer token is required and must be right');
}

function toAdministrationError(error: Error & { statusCode?: number }): AdministrationError {
  if (error instanceof AdministrationError) return error;
  const isFaultOfRequest = error.statusCode !== undefined && error.statusCode < 500;
  if (isFaultOfRequest) return new AdministrationError('badRequest', error.message);
  return new AdministrationError('internal', 'the instance failed to answer; its log says why');
}

function requireConfiguration(sources: AdministrationSources): ConfigurationObject {
  const object = sources.configuration();
  if (object) return object;
  throw new AdministrationError('noConfiguration', 'no configuration has been adopted here yet');
}

/** Passwords of database accounts stay out of every answer; patches set them and nothing shows them. */
function redactPasswords(configuration: Configuration): Configuration {
  const groups = Object.entries(configuration.groups).map(([name, group]) => [
    name,
    { ...group, password: REDACTED },
  ]);
  return { ...configuration, groups: Object.fromEntries(groups) as Configuration['groups'] };
}

function describeBadPatch(
  issues: readonly { path: PropertyKey[]; message: string }[],
): AdministrationError {
  const faults = issues.map(({ path, message }) => ({ path: path.join('.'), reason: message }));
  return new AdministrationError('badRequest', 'the body is not a patch', { faults });
}

/** Turns a refusal into the error that carries it; accepted and unknown are answers. */
function acceptedOrThrow(outcome: PatchOutcome): PatchOutcome {
  const { status } = outcome;
  if (status === 'outdated') {
    const { presentNumber } = outcome;
    const message = `the configuration has moved on to number ${presentNumber}`;
    throw new AdministrationError('outdated', message, { presentNumber });
  }
  if (status === 'invalid') {
    const message = 'the patch would leave a configuration that is not valid';
    throw new AdministrationError('invalid', message, { faults: outcome.faults });
  }
  return outcome;
}
