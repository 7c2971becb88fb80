/** Sends a request to a control port or the platform. */
export async function requestJson<Answer>(
  address: string,
  options: { method?: string; body?: unknown; headers?: Record<string, string> } = {},
): Promise<Answer> {
  const { method = 'GET', body, headers = {} } = options;
  const response = await fetch(address, {
    method,
    headers: body === undefined ? headers : { ...headers, 'content-type': 'application/json' },
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
  const text = await response.text();
  if (!response.ok) throw new Error(`${method} ${address}: ${response.status} ${text}`);
  return JSON.parse(text) as Answer;
}
