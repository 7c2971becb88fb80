import { timingSafeEqual } from 'node:crypto';
import type { AddressInfo } from 'node:net';
import type { PatchOutcome } from '@wisterialift/core';
import { configurationPatchSchema } from '@wisterialift/schema';
import type { Configuration, ConfigurationObject, Settings } from '@wisterialift/schema';
import fastify from 'fastify';
import type { FastifyInstance, FastifyRequest } from 'fastify';
import { AdministrationError } from './administrationError';
import type { AdministrationBackend } from './administrationBackend';

/** @public */
export interface AdministrationServer {
  /** Starts listening and resolves with the bound address. */
  listen: () => Promise<{ host: string; port: number }>;
  close: () => Promise<void>;
}

/** @public */
export interface AdministrationServerOptions {
  settings: Settings;
  backend: AdministrationBackend;
  /** Called for each error that is answered with code `internal`. */
  onUnexpectedError: (error: Error) => void;
}

const REDACTED_PASSWORD = '(redacted)';

/**
 * Creates the administration API: HTTP with JSON bodies, a bearer token, errors as
 * `{ error: { code, message, … } }`.
 *
 * @public
 */
export function createAdministrationServer(
  options: AdministrationServerOptions,
): AdministrationServer {
  const { settings, backend, onUnexpectedError } = options;
  const server = fastify({ logger: false, forceCloseConnections: true });

  server.addHook('onRequest', async (request) => {
    checkToken(request, settings.administration.token);
  });
  server.setErrorHandler((error, _request, reply) => {
    const apiError = toAdministrationError(error as Error & { statusCode?: number });
    if (apiError.code === 'internal') onUnexpectedError(error as Error);
    const { code, message, details, statusCode } = apiError;
    return reply.status(statusCode).send({ error: { code, message, ...details } });
  });
  server.setNotFoundHandler(async (request) => {
    throw new AdministrationError('notFound', `no such route: ${request.method} ${request.url}`);
  });
  addStatusRoutes(server, backend);
  addConfigurationRoutes(server, backend);
  addInstanceRoutes(server, backend);

  async function listen(): Promise<{ host: string; port: number }> {
    const { host, port } = settings.administration;
    await server.listen({ host, port });
    const bound = server.server.address() as AddressInfo;
    return { host: bound.address, port: bound.port };
  }

  return { listen, close: () => server.close() };
}

function addStatusRoutes(server: FastifyInstance, backend: AdministrationBackend): void {
  server.get('/v1/status', async () => backend.status());
  server.get('/v1/burn', async () => backend.burn());
  server.get('/v1/latencies', async () => ({ latencies: backend.latencies() }));
  server.get('/v1/groups', async () => ({ groups: backend.status().groups }));
  server.get<{ Params: { name: string } }>('/v1/groups/:name', async ({ params }) => {
    const view = backend.status().groups.find(({ group }) => group === params.name);
    if (!view) throw new AdministrationError('notFound', `no group is named "${params.name}"`);
    return view;
  });
}

function addConfigurationRoutes(server: FastifyInstance, backend: AdministrationBackend): void {
  server.get('/v1/configuration', async () => {
    const { number, configuration } = requireConfiguration(backend);
    return { number, configuration: redactPasswords(configuration) };
  });
  server.get('/v1/configuration/history', async () => ({ patches: backend.history() }));
  server.post('/v1/configuration/patches', async (request, reply) => {
    const parsed = configurationPatchSchema.safeParse(request.body);
    if (!parsed.success) throw createBadPatchError(parsed.error.issues);
    const outcome = throwIfRefused(await backend.submitPatch(parsed.data));
    const { patchId } = parsed.data;
    return reply.status(outcome.status === 'unknown' ? 202 : 200).send({ ...outcome, patchId });
  });
  server.get<{ Params: { id: string }; Querystring: { against?: string } }>(
    '/v1/configuration/patches/:id',
    async ({ params, query }) => backend.findPatch(params.id, parseAgainstNumber(query.against)),
  );
}

function parseAgainstNumber(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  if (/^\d+$/.test(text)) return Number(text);
  throw new AdministrationError('badRequest', `against: "${text}" is not a number`);
}

function addInstanceRoutes(server: FastifyInstance, backend: AdministrationBackend): void {
  server.get('/v1/instances', async () => ({ instances: backend.instances() }));
  server.post<{ Params: { name: string } }>(
    '/v1/instances/:name/drain',
    async ({ params }, reply) => {
      const instance = backend.instances().find(({ name }) => name === params.name);
      if (!instance) {
        throw new AdministrationError('notFound', `no instance is named "${params.name}"`);
      }
      await backend.drainInstance(instance);
      return reply.status(202).send({ instance: instance.name, state: 'leaving' });
    },
  );
}

/** Compares the bearer token in constant time to prevent timing attacks. */
function checkToken(request: FastifyRequest, token: string): void {
  const given = Buffer.from(request.headers.authorization ?? '');
  const expected = Buffer.from(`Bearer ${token}`);
  if (given.length === expected.length && timingSafeEqual(given, expected)) return;
  throw new AdministrationError('unauthorised', 'a valid bearer token is required');
}

function toAdministrationError(error: Error & { statusCode?: number }): AdministrationError {
  if (error instanceof AdministrationError) return error;
  const isRequestError = error.statusCode !== undefined && error.statusCode < 500;
  if (isRequestError) return new AdministrationError('badRequest', error.message);
  return new AdministrationError('internal', 'internal error; see the log of this instance');
}

function requireConfiguration(backend: AdministrationBackend): ConfigurationObject {
  const object = backend.configuration();
  if (object) return object;
  throw new AdministrationError('noConfiguration', 'this instance has no configuration yet');
}

/**
 * Removes the passwords of database accounts: patches can set them, but no response contains them.
 */
function redactPasswords(configuration: Configuration): Configuration {
  const groups = Object.entries(configuration.groups).map(([name, group]) => [
    name,
    { ...group, password: REDACTED_PASSWORD },
  ]);
  return { ...configuration, groups: Object.fromEntries(groups) as Configuration['groups'] };
}

function createBadPatchError(
  issues: readonly { path: PropertyKey[]; message: string }[],
): AdministrationError {
  const faults = issues.map(({ path, message }) => ({ path: path.join('.'), reason: message }));
  return new AdministrationError('badRequest', 'the request body is not a valid patch', { faults });
}

/** @throws AdministrationError for an outdated or invalid patch. */
function throwIfRefused(outcome: PatchOutcome): PatchOutcome {
  const { status } = outcome;
  if (status === 'outdated') {
    const { presentNumber } = outcome;
    const message = `the current configuration number is ${presentNumber}`;
    throw new AdministrationError('outdated', message, { presentNumber });
  }
  if (status === 'invalid') {
    const message = 'the patched configuration is not valid';
    throw new AdministrationError('invalid', message, { faults: outcome.faults });
  }
  return outcome;
}
