import { request as sendRequest } from 'node:http';
import { ClientError } from './clientError';

/**
 * Client of one instance's administration API; bodies of successful responses are not validated.
 *
 * @public
 */
export interface AdministrationClient {
  get: <Body>(path: string) => Promise<Body>;
  post: <Body>(path: string, body?: object) => Promise<Body>;
  /** Creates a client for another instance, with the same token and timeout. */
  createForAddress: (address: string) => AdministrationClient;
}

/** @public */
export interface AdministrationClientOptions {
  /** `host:port` of the instance's administration API. */
  address: string;
  token: string;
  /** Time without activity on the connected socket before a request fails; 5 000 by default. */
  timeoutMilliseconds?: number;
}

const DEFAULT_TIMEOUT_MILLISECONDS = 5_000;

interface HttpResponse {
  status: number;
  text: string;
}

/**
 * Creates a client of the administration API.
 *
 * Its calls reject with a {@link ClientError} if the address does not have the form `host:port`,
 * the request fails, the body is not JSON, or the status is 400 or above.
 *
 * @public
 */
export function createAdministrationClient(
  options: AdministrationClientOptions,
): AdministrationClient {
  const { address, token, timeoutMilliseconds = DEFAULT_TIMEOUT_MILLISECONDS } = options;

  async function callApi<Body>(method: string, path: string, body?: object): Promise<Body> {
    const { status, text } = await sendHttpRequest({ method, path, body });
    const parsedBody = parseJson(text, address);
    if (status < 400) return parsedBody as Body;
    throw ClientError.fromErrorResponse(parsedBody, address);
  }

  function sendHttpRequest(httpRequest: {
    method: string;
    path: string;
    body?: object;
  }): Promise<HttpResponse> {
    const payload = httpRequest.body === undefined ? undefined : JSON.stringify(httpRequest.body);
    const headers: Record<string, string> = { authorization: `Bearer ${token}` };
    if (payload !== undefined) headers['content-type'] = 'application/json';
    return new Promise((resolve, reject) => {
      const fail = (reason: string): void => {
        reject(new ClientError('unreachable', `${address}: ${reason}`));
      };
      const url = createRequestUrl(address, httpRequest.path);
      if (!url) {
        reject(new ClientError('usage', `--address: "${address}" is not host:port`));
        return;
      }
      const request = sendRequest(url, { method: httpRequest.method, headers }, (response) => {
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
    get: (path) => callApi('GET', path),
    post: (path, body) => callApi('POST', path, body),
    createForAddress: (other) => createAdministrationClient({ ...options, address: other }),
  };
}

/** Returns undefined if the address does not have the form `host:port`. */
function createRequestUrl(address: string, path: string): URL | undefined {
  if (!/^[^/\s]+:\d{1,5}$/.test(address)) return undefined;
  return new URL(`http://${address}${path}`);
}

function parseJson(text: string, address: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new ClientError('unreachable', `${address}: the answer is not JSON`);
  }
}
