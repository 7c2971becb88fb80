import type { PeerClient, PeerInstances } from '@wisterialift/peer';
import type { ConfigurationState } from './configurationState';

/** Queries to peers; failed calls are treated as empty answers. @internal */
export interface PeerQueries {
  /**
   * Adopts the configuration of a peer if it is newer.
   *
   * @returns milliseconds since the platform confirmed the active configuration to the peer;
   *   Infinity if the peer did not answer or has a lower number.
   */
  pullConfiguration: (address: string) => Promise<number>;
  queryInstances: (address: string) => Promise<PeerInstances | undefined>;
}

/** @internal */
export function createPeerQueries(options: {
  peers: PeerClient;
  state: ConfigurationState;
}): PeerQueries {
  const { peers, state } = options;

  async function pullConfiguration(address: string): Promise<number> {
    const answer = await resolveUndefinedOnError(peers.fetchConfiguration(address, state.number()));
    if (!answer) return Infinity;
    const { number, configurationObject, ageMilliseconds } = answer;
    if (configurationObject !== undefined) state.adoptIfNewer(configurationObject, 'peer');
    if (number < state.number()) return Infinity;
    state.confirm({ number, ageMilliseconds });
    return ageMilliseconds;
  }

  return {
    pullConfiguration,
    queryInstances: (address) => resolveUndefinedOnError(peers.fetchInstances(address)),
  };
}

async function resolveUndefinedOnError<Answer>(call: Promise<Answer>): Promise<Answer | undefined> {
  try {
    return await call;
  } catch {
    return undefined;
  }
}
