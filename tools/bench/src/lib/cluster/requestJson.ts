/** Sends a request to a control port or the platform. */
export async function requestJson<Answer>(
  address: string,
  options: { method?: string; body?: unknown } = {},
): Promise<Answer> {
  const { method = 'GET', body } = options;
  const response = await fetch(address, {
    method,
    ...(body === undefined
      ? {}
      : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
  });
  const text = await response.text();
  if (!response.ok) throw new Error(`${method} ${address}: ${response.status} ${text}`);
  return JSON.parse(text) as Answer;
}
