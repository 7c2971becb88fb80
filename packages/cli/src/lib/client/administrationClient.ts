import { request as sendRequest } from 'node:http';
import { ClientError } from './clientError';

/** @public */
export interface AdministrationClient {
  get: <Answer>(path: string) => Promise<Answer>;
  post: <Answer>(path: string, body?: object) => Promise<Answer>;
  /** The same client for another instance. */
  at: (address: string) => AdministrationClient;
}

/** @public */
export interface AdministrationClientOptions {
  /** `host:port` of the administration API of an instance. */
  address: string;
  token: string;
  timeoutMilliseconds?: number;
}

const DEFAULT_TIMEOUT_MILLISECONDS = 5_000;

interface RawAnswer {
  status: number;
  text: string;
}

/**
 * Creates a client of the administration API.
 *
 * @throws ClientError from every call that does not end with a success.
 * @public
 */
export function createAdministrationClient(
  options: AdministrationClientOptions,
): AdministrationClient {
  const { address, token, timeoutMilliseconds = DEFAULT_TIMEOUT_MILLISECONDS } = options;

  async function call<Answer>(method: string, path: string, body?: object): Promise<Answer> {
    const { status, text } = await exchange({ method, path, body });
    const answer = parseAnswer(text, address);
    if (status < 400) return answer as Answer;
    throw ClientError.fromAnswer(answer, address);
  }

  function exchange(outgoing: { method: string; path: string; body?: object }): Promise<RawAnswer> {
    const payload = outgoing.body === undefined ? undefined : JSON.stringify(outgoing.body);
    const headers: Record<string, string> = { authorization: `Bearer ${token}` };
    if (payload !== undefined) headers['content-type'] = 'application/json';
    return new Promise((resolve, reject) => {
      const fail = (reason: string): void => {
        reject(new ClientError('unreachable', `${address}: ${reason}`));
      };
      const url = parseAddress(address, outgoing.path);
      if (!url) {
        reject(new ClientError('usage', `--address: "${address}" is not host:port`));
        return;
      }
      const request = sendRequest(url, { method: outgoing.method, headers }, (response) => {
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => {
          text += chunk;
        });
        response.on('end', () => resolve({ status: response.statusCode ?? 0, text }));
        response.on('error', ({ message }) => fail(message));
      });
      request.setTimeout(timeoutMilliseconds, () => {
        request.destroy(new Error(`no answer within ${timeoutMilliseconds} ms`));
      });
      request.on('error', ({ message }) => fail(message));
      request.end(payload);
    });
  }

  return {
    get: (path) => call('GET', path),
    post: (path, body) => call('POST', path, body),
    at: (other) => createAdministrationClient({ ...options, address: other }),
  };
}

function parseAddress(address: string, path: string): URL | undefined {
  if (!/^[^/\s]+:\d{1,5}$/.test(address)) return undefined;
  return new URL(`http://${address}${path}`);
}

function parseAnswer(text: string, address: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new ClientError('unreachable', `${address}: the answer is not JSON`);
  }
}
