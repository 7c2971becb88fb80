import { Agent as HttpAgent, request as httpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import { PlatformAnswerError } from './errors/platformAnswerError';
import { PlatformUnavailableError } from './errors/platformUnavailableError';

/** A request to the platform. */
export interface HttpRequest {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path and query, relative to the base address. */
  path: string;
  body?: unknown;
  headers?: Record<string, string>;
  /** Timeout of the whole request, including the wait of a watch. */
  timeoutMilliseconds: number;
  signal?: AbortSignal;
}

/** A response with its decoded JSON; `body` is undefined if empty. */
export interface HttpResponse {
  code: number;
  body: unknown;
}

/** HTTP client with keep-alive connections to one server. */
export interface HttpClient {
  /** @throws PlatformUnavailableError, PlatformAnswerError */
  send: (call: HttpRequest) => Promise<HttpResponse>;
  close: () => void;
}

interface PendingRequest {
  request: ClientRequest;
  response: Promise<HttpResponse>;
}

/** Well above the largest object, whose value is limited to a megabyte. */
const MAXIMUM_RESPONSE_BYTES = 4_194_304;

/** Error codes of connections that were never established. */
const UNSENT_ERROR_CODES = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH']);

/**
 * Creates a client for one HTTP server.
 *
 * @param options.address - base address, `http://` or `https://`.
 */
export function createHttpClient(options: { address: string }): HttpClient {
  const base = options.address.replace(/\/+$/, '');
  const isSecure = base.startsWith('https:');
  // Loaded only for https addresses, since it slows down startup.
  const https = isSecure ? process.getBuiltinModule('node:https') : undefined;
  const agent = https ? new https.Agent({ keepAlive: true }) : new HttpAgent({ keepAlive: true });
  const openRequest = https ? https.request : httpRequest;

  /** Sends a request; repeats a read once if the server had closed the idle connection. */
  async function send(call: HttpRequest): Promise<HttpResponse> {
    const first = sendOnce(call);
    try {
      return await first.response;
    } catch (error) {
      if (!canRepeatRead(first.request, error)) throw error;
      return sendOnce(call).response;
    }
  }

  function sendOnce(call: HttpRequest): PendingRequest {
    const { method, signal, timeoutMilliseconds } = call;
    // As bytes, since Node.js would encode the headers like a text that follows them.
    const body = call.body === undefined ? undefined : Buffer.from(JSON.stringify(call.body));
    const headers = {
      ...encodeHeaders(call.headers),
      ...(body !== undefined && { 'content-type': 'application/json' }),
    };
    const url = new URL(base);
    // As an option, the path is sent as it is; in the URL, an encoded segment of dots would be resolved.
    const path = `${url.pathname.replace(/\/$/, '')}${call.path}`;
    const request = openRequest(url, { path, method, agent, headers, signal });
    let timeout: Error | undefined;
    const timer = setTimeout(() => {
      timeout = new Error(`no answer within ${timeoutMilliseconds} ms`);
      // Resets, so that bytes held back by a network partition do not arrive later.
      request.socket?.resetAndDestroy();
      request.destroy(timeout);
      destroyIdleSockets();
    }, timeoutMilliseconds);
    request.once('close', () => clearTimeout(timer));
    const answer = new Promise<HttpResponse>((resolve, reject) => {
      const onError = (error: Error): void => reject(toPlatformError(call, timeout ?? error));
      request.on('error', onError);
      request.once('response', (response) => {
        readResponse(response).then(resolve, onError);
      });
    });
    request.end(body);
    return { request, response: answer };
  }

  /** After a timeout, idle connections are likely dead too; later requests would time out on them. */
  function destroyIdleSockets(): void {
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }

  return { send, close: () => agent.destroy() };
}

/** Encodes header values in UTF-8. Node.js sends each character as one byte and throws for others. */
function encodeHeaders(headers: Record<string, string> = {}): Record<string, string> {
  const encoded = Object.entries(headers).map(([name, value]) => [
    name,
    Buffer.from(value).toString('latin1'),
  ]);
  return Object.fromEntries(encoded);
}

async function readResponse(response: IncomingMessage): Promise<HttpResponse> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of response) {
    length += (chunk as Buffer).length;
    if (length > MAXIMUM_RESPONSE_BYTES) throw new PlatformAnswerError('response exceeds 4 MiB');
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
    throw new PlatformAnswerError('response is not valid JSON', { cause: error });
  }
}

function toPlatformError(call: HttpRequest, error: Error): Error {
  if (error instanceof PlatformAnswerError) return error;
  const code = (error as NodeJS.ErrnoException).code ?? '';
  return new PlatformUnavailableError(`${call.method} ${call.path}: ${error.message}`, {
    cause: error,
    mayHaveApplied: call.method !== 'GET' && !UNSENT_ERROR_CODES.has(code),
  });
}

/**
 * Returns whether a request failed because the server closed the idle connection as it was reused.
 * Only reads are safe to repeat: an update may have been applied.
 */
function canRepeatRead(request: ClientRequest, error: unknown): boolean {
  if (request.method !== 'GET' || !request.reusedSocket) return false;
  if (!(error instanceof PlatformUnavailableError)) return false;
  return (error.cause as NodeJS.ErrnoException | undefined)?.code === 'ECONNRESET';
}
