import type { Instance } from '@wisterialift/schema';
import type { z } from 'zod';
import { instancesResponseSchema, platformObjectSchema, versionResponseSchema } from './responses';
import type { PlatformObject } from './responses';
import { createHttpClient } from './httpClient';
import type { HttpResponse, HttpRequest } from './httpClient';
import { encodePathSegment } from './pathSegment';
import { PlatformAnswerError } from './errors/platformAnswerError';
import { PlatformUnavailableError } from './errors/platformUnavailableError';
import { VersionConflictError } from './errors/versionConflictError';

/** @public */
export interface PlatformClientOptions {
  /** Base URL of the object API, for example `http://127.0.0.1:7000`. */
  address: string;
  /** Timeout of a request, beyond the wait of a watch. */
  timeoutMilliseconds: number;
}

/** Identifies an object. @public */
export interface PlatformObjectKey {
  kind: string;
  name: string;
}

/** A conditional update; `expectedVersion` 0 creates the object. @public */
export interface PlatformUpdate extends PlatformObjectKey {
  expectedVersion: number;
  value: unknown;
}

/** A long poll for a newer version. @public */
export interface PlatformWatch extends PlatformObjectKey {
  /** Known version; 0 for none. */
  after: number;
  waitMilliseconds: number;
  /** Aborts the wait; the call then throws PlatformUnavailableError. */
  signal?: AbortSignal;
}

/**
 * Client of the platform's object API. Every call throws PlatformUnavailableError without a response
 * or for 5xx and 429, and PlatformAnswerError for any other unexpected status or an invalid body.
 *
 * @public
 */
export interface PlatformClient {
  /** @returns undefined if the object does not exist. */
  getObject: (key: PlatformObjectKey) => Promise<PlatformObject | undefined>;
  /**
   * @returns the new version.
   * @throws VersionConflictError if the current version is not the expected one.
   */
  putObject: (update: PlatformUpdate) => Promise<number>;
  /** @returns the object once its version is above `after`, or undefined after `waitMilliseconds`. */
  watchObject: (watch: PlatformWatch) => Promise<PlatformObject | undefined>;
  /** @returns the list of instances, which may be stale. */
  listInstances: () => Promise<Instance[]>;
  registerInstance: (instance: Instance) => Promise<void>;
  removeInstance: (name: string) => Promise<void>;
  /** Closes all connections, including those of pending calls. */
  close: () => void;
}

/**
 * Creates a client of the platform's object API.
 *
 * @example
 * const platform = createPlatformClient({ address: 'http://127.0.0.1:7000', timeoutMilliseconds: 2_000 });
 * const object = await platform.getObject({ kind: 'configuration', name: 'wisterialift' });
 *
 * @public
 */
export function createPlatformClient(options: PlatformClientOptions): PlatformClient {
  const { address, timeoutMilliseconds } = options;
  const httpClient = createHttpClient({ address });

  function send(call: Omit<HttpRequest, 'timeoutMilliseconds'>): Promise<HttpResponse> {
    return httpClient.send({ ...call, timeoutMilliseconds });
  }

  async function getObject(key: PlatformObjectKey): Promise<PlatformObject | undefined> {
    const answer = await send({ method: 'GET', path: buildObjectPath(key) });
    if (answer.code === 404) return undefined;
    return parseResponse(platformObjectSchema, answer);
  }

  async function putObject(update: PlatformUpdate): Promise<number> {
    const { expectedVersion, value } = update;
    const body = { expectedVersion, value };
    const answer = await send({ method: 'PUT', path: buildObjectPath(update), body });
    if (answer.code !== 409) return parseResponse(versionResponseSchema, answer).version;
    const { version: currentVersion } = parseBody(versionResponseSchema, answer);
    throw new VersionConflictError(
      `${buildObjectPath(update)} has version ${currentVersion}, not ${expectedVersion}`,
      { currentVersion },
    );
  }

  async function watchObject(watch: PlatformWatch): Promise<PlatformObject | undefined> {
    const { after, waitMilliseconds, signal } = watch;
    const answer = await httpClient.send({
      method: 'GET',
      path: `${buildObjectPath(watch)}?after=${after}&waitMilliseconds=${waitMilliseconds}`,
      timeoutMilliseconds: waitMilliseconds + timeoutMilliseconds,
      signal,
    });
    if (answer.code === 304) return undefined;
    return parseResponse(platformObjectSchema, answer);
  }

  async function listInstances(): Promise<Instance[]> {
    const answer = await send({ method: 'GET', path: '/instances' });
    return parseResponse(instancesResponseSchema, answer).instances;
  }

  async function registerInstance(instance: Instance): Promise<void> {
    const path = `/instances/${encodePathSegment(instance.name)}`;
    requireSuccess(await send({ method: 'PUT', path, body: instance }));
  }

  async function removeInstance(name: string): Promise<void> {
    requireSuccess(await send({ method: 'DELETE', path: `/instances/${encodePathSegment(name)}` }));
  }

  return {
    getObject,
    putObject,
    watchObject,
    listInstances,
    registerInstance,
    removeInstance,
    close: httpClient.close,
  };
}

function buildObjectPath({ kind, name }: PlatformObjectKey): string {
  return `/objects/${encodePathSegment(kind)}/${encodePathSegment(name)}`;
}

function parseResponse<Schema extends z.ZodType>(
  schema: Schema,
  answer: HttpResponse,
): z.infer<Schema> {
  requireSuccess(answer);
  return parseBody(schema, answer);
}

function parseBody<Schema extends z.ZodType>(
  schema: Schema,
  answer: HttpResponse,
): z.infer<Schema> {
  const result = schema.safeParse(answer.body);
  if (result.success) return result.data;
  throw new PlatformAnswerError('response does not match the schema', { cause: result.error });
}

/** Throws for any status but 2xx. A 5xx may come from a proxy after the request was applied. */
function requireSuccess({ code }: HttpResponse): void {
  if (code >= 200 && code < 300) return;
  if (code >= 500 || code === 429) {
    throw new PlatformUnavailableError(`the platform answered ${code}`, {
      mayHaveApplied: code !== 429,
    });
  }
  throw new PlatformAnswerError(`the platform answered ${code}`);
}
