import type { TrialProxy } from '@wisterialift/bench';

/** An answer of the administration API. */
export interface AdministrationAnswer<Body> {
  status: number;
  body: Body;
}

/** Calls the administration API of a proxy: a POST where there is a payload, else a GET. */
export async function callAdministration<Body>(
  proxy: TrialProxy,
  path: string,
  payload?: object,
): Promise<AdministrationAnswer<Body>> {
  const response = await fetch(`http://127.0.0.1:${proxy.administrationPort}${path}`, {
    method: payload ? 'POST' : 'GET',
    headers: {
      authorization: `Bearer ${proxy.administrationToken}`,
      ...(payload ? { 'content-type': 'application/json' } : {}),
    },
    body: payload ? JSON.stringify(payload) : undefined,
  });
  return { status: response.status, body: (await response.json()) as Body };
}
