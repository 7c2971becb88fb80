import type { Instance } from '@wisterialift/schema';
import type { z } from 'zod';
import { instancesAnswerSchema, platformObjectSchema, versionAnswerSchema } from './answers';
import type { PlatformObject } from './answers';
import { createHttpExchange } from './httpExchange';
import type { HttpAnswer, HttpCall } from './httpExchange';
import { PlatformAnswerError } from './errors/platformAnswerError';
import { PlatformUnavailableError } from './errors/platformUnavailableError';
import { VersionConflictError } from './errors/versionConflictError';

/** @public */
export interface PlatformClientOptions {
  /** Base address of the object API, for example `http://127.0.0.1:7000`. */
  address: string;
  /** Time within which a call that does not wait is answered. */
  timeoutMilliseconds: number;
}

/** Identity of an object. @public */
export interface PlatformObjectKey {
  kind: string;
  name: string;
}

/** A conditional update; `expectedVersion` 0 asks that the object does not exist yet. @public */
export interface PlatformUpdate extends PlatformObjectKey {
  expectedVersion: number;
  value: unknown;
}

/** A call that waits for a newer version. @public */
export interface PlatformWatch extends PlatformObjectKey {
  /** Version that is known already; 0 for none. */
  after: number;
  waitMilliseconds: number;
  /** Ends the wait; the call then throws PlatformUnavailableError. */
  signal?: AbortSignal;
}

/**
 * Calls of the platform. Each throws PlatformUnavailableError where there is no answer and
 * PlatformAnswerError where the answer cannot be understood.
 *
 * @public
 */
export interface PlatformClient {
  /** @returns undefined where there is no such object. */
  getObject: (key: PlatformObjectKey) => Promise<PlatformObject | undefined>;
  /**
   * @returns the new version.
   * @throws VersionConflictError where the present version is not the expected one.
   */
  putObject: (update: PlatformUpdate) => Promise<number>;
  /** @returns the object once its version is above `after`, or undefined when the time is over. */
  watchObject: (watch: PlatformWatch) => Promise<PlatformObject | undefined>;
  /** @returns the list of instances, which lags. */
  listInstances: () => Promise<Instance[]>;
  registerInstance: (instance: Instance) => Promise<void>;
  removeInstance: (name: string) => Promise<void>;
  /** Closes the connections that are kept open. */
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
  const exchange = createHttpExchange({ address });

  function send(call: Omit<HttpCall, 'timeoutMilliseconds'>): Promise<HttpAnswer> {
    return exchange.send({ ...call, timeoutMilliseconds });
  }

  async function getObject(key: PlatformObjectKey): Promise<PlatformObject | undefined> {
    const answer = await send({ method: 'GET', path: objectPath(key) });
    if (answer.code === 404) return undefined;
    return parseAnswer(platformObjectSchema, answer);
  }

  async function putObject(update: PlatformUpdate): Promise<number> {
    const { expectedVersion, value } = update;
    const body = { expectedVersion, value };
    const answer = await send({ method: 'PUT', path: objectPath(update), body });
    if (answer.code !== 409) return parseAnswer(versionAnswerSchema, answer).version;
    const { version: presentVersion } = parseBody(versionAnswerSchema, answer);
    throw new VersionConflictError(
      `${objectPath(update)} has version ${presentVersion}, not ${expectedVersion}`,
      { presentVersion },
    );
  }

  async function watchObject(watch: PlatformWatch): Promise<PlatformObject | undefined> {
    const { after, waitMilliseconds, signal } = watch;
    const answer = await exchange.send({
      method: 'GET',
      path: `${objectPath(watch)}?after=${after}&waitMilliseconds=${waitMilliseconds}`,
      timeoutMilliseconds: waitMilliseconds + timeoutMilliseconds,
      signal,
    });
    if (answer.code === 304) return undefined;
    return parseAnswer(platformObjectSchema, answer);
  }

  async function listInstances(): Promise<Instance[]> {
    const answer = await send({ method: 'GET', path: '/instances' });
    return parseAnswer(instancesAnswerSchema, answer).instances;
  }

  async function registerInstance(instance: Instance): Promise<void> {
    const path = `/instances/${encodeURIComponent(instance.name)}`;
    checkCode(await send({ method: 'PUT', path, body: instance }));
  }

  async function removeInstance(name: string): Promise<void> {
    checkCode(await send({ method: 'DELETE', path: `/instances/${encodeURIComponent(name)}` }));
  }

  return {
    getObject,
    putObject,
    watchObject,
    listInstances,
    registerInstance,
    removeInstance,
    close: exchange.close,
  };
}

function objectPath({ kind, name }: PlatformObjectKey): string {
  return `/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;
}

function parseAnswer<Schema extends z.ZodType>(
  schema: Schema,
  answer: HttpAnswer,
): z.infer<Schema> {
  checkCode(answer);
  return parseBody(schema, answer);
}

function parseBody<Schema extends z.ZodType>(schema: Schema, answer: HttpAnswer): z.infer<Schema> {
  const result = schema.safeParse(answer.body);
  if (result.success) return result.data;
  throw new PlatformAnswerError('the answer has an unexpected form', { cause: result.error });
}

/**
 * A 5xx may come from something between here and the platform that did not see the end of the
 * call, so the call may have run; 429 says that it was not looked at.
 */
function checkCode({ code }: HttpAnswer): void {
  if (code >= 200 && code < 300) return;
  if (code >= 500 || code === 429) {
    throw new PlatformUnavailableError(`the platform answered ${code}`, {
      mayHaveApplied: code !== 429,
    });
  }
  throw new PlatformAnswerError(`the platform answered ${code}`);
}
