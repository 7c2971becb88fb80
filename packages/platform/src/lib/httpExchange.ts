import { Agent as HttpAgent, request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { PlatformAnswerError } from './errors/platformAnswerError';
import { PlatformUnavailableError } from './errors/platformUnavailableError';

/** One call of the platform. */
export interface HttpCall {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path and query, below the platform's address. */
  path: string;
  body?: unknown;
  headers?: Record<string, string>;
  /** Time for the whole call, waiting included. */
  timeoutMilliseconds: number;
  signal?: AbortSignal;
}

/** The platform's answer; `body` is undefined where it has none. */
export interface HttpAnswer {
  code: number;
  body: unknown;
}

/** Sends calls over connections that are kept open. */
export interface HttpExchange {
  /** @throws PlatformUnavailableError, PlatformAnswerError */
  send: (call: HttpCall) => Promise<HttpAnswer>;
  close: () => void;
}

interface StartedCall {
  request: ClientRequest;
  answer: Promise<HttpAnswer>;
}

/** Larger than the largest value of an object, a megabyte, with its envelope. */
const ANSWER_LIMIT_BYTES = 4_194_304;

/** The codes of failures before anything was sent. */
const NEVER_SENT_CODES = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH']);

/**
 * Opens an exchange with one HTTP server.
 *
 * @param options.address - base address, `http://` or `https://`.
 */
export function createHttpExchange(options: { address: string }): HttpExchange {
  const base = options.address.replace(/\/+$/, '');
  const isSecure = base.startsWith('https:');
  // Loaded only where an address asks for it: it takes a tenth of a small instance's start.
  const secure = isSecure ? process.getBuiltinModule('node:https') : undefined;
  const agent = secure ? new secure.Agent({ keepAlive: true }) : new HttpAgent({ keepAlive: true });
  const startRequest = secure ? secure.request : httpRequest;

  /** Sends a call, reading a second time where the first met a connection closed meanwhile. */
  async function send(call: HttpCall): Promise<HttpAnswer> {
    const first = startCall(call);
    try {
      return await first.answer;
    } catch (error) {
      if (!isStaleRead(first.request, error)) throw error;
      return startCall(call).answer;
    }
  }

  function startCall(call: HttpCall): StartedCall {
    const { method, signal, timeoutMilliseconds } = call;
    const text = call.body === undefined ? undefined : JSON.stringify(call.body);
    const headers = {
      ...call.headers,
      ...(text !== undefined && { 'content-type': 'application/json' }),
    };
    const request = startRequest(`${base}${call.path}`, { method, agent, headers, signal });
    let timeout: Error | undefined;
    const timer = setTimeout(() => {
      timeout = new Error(`no answer within ${timeoutMilliseconds} ms`);
      // A reset drops what a cut still holds up; a plain close would let it arrive later.
      request.socket?.resetAndDestroy();
      request.destroy(timeout);
      dropIdleConnections();
    }, timeoutMilliseconds);
    request.once('close', () => clearTimeout(timer));
    const answer = new Promise<HttpAnswer>((resolve, reject) => {
      const onError = (error: Error): void => reject(describeFailure(call, timeout ?? error));
      request.on('error', onError);
      request.once('response', (response) => {
        readAnswer(response).then(resolve, onError);
      });
    });
    request.end(text);
    return { request, answer };
  }

  /** Connections go silent together; the next call would wait for its time limit on each of them. */
  function dropIdleConnections(): void {
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  return { send, close: () => agent.destroy() };
}

async function readAnswer(response: IncomingMessage): Promise<HttpAnswer> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of response) {
    length += (chunk as Buffer).length;
    if (length > ANSWER_LIMIT_BYTES) throw new PlatformAnswerError('the answer is too long');
    chunks.push(chunk as Buffer);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  return { code: response.statusCode ?? 0, body: parseBody(text) };
}

function parseBody(text: string): unknown {
  if (text === '') return undefined;
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new PlatformAnswerError('the answer is not JSON', { cause: error });
  }
}

function describeFailure(call: HttpCall, error: Error): Error {
  if (error instanceof PlatformAnswerError) return error;
  const code = (error as NodeJS.ErrnoException).code ?? '';
  return new PlatformUnavailableError(`${call.method} ${call.path}: ${error.message}`, {
    cause: error,
    mayHaveApplied: call.method !== 'GET' && !NEVER_SENT_CODES.has(code),
  });
}

/**
 * A kept connection may be closed by the platform at the moment it is used again, which shows as a
 * reset before any answer. Reading again over another connection is safe, updating is not.
 */
function isStaleRead(request: ClientRequest, error: unknown): boolean {
  if (request.method !== 'GET' || !request.reusedSocket) return false;
  if (!(error instanceof PlatformUnavailableError)) return false;
  return (error.cause as NodeJS.ErrnoException | undefined)?.code === 'ECONNRESET';
}
