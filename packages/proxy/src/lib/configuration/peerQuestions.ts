import type { PeerClient, PeerInstances } from '@wisterialift/peer';
import type { ConfigurationHolder } from './configurationHolder';

/** Questions to peers; a peer that does not answer counts as one that knows nothing. @internal */
export interface PeerQuestions {
  /**
   * Takes the configuration of a peer if it is higher.
   *
   * @returns how long ago the platform confirmed at the peer what is in force here; Infinity where
   *   the peer did not answer or has a lower number.
   */
  askConfiguration: (address: string) => Promise<number>;
  askInstances: (address: string) => Promise<PeerInstances | undefined>;
}

/** @internal */
export function createPeerQuestions(options: {
  peers: PeerClient;
  holder: ConfigurationHolder;
}): PeerQuestions {
  const { peers, holder } = options;

  async function askConfiguration(address: string): Promise<number> {
    const answer = await answerOrNothing(peers.fetchConfiguration(address, holder.number()));
    if (!answer) return Infinity;
    const { number, configurationObject, ageMilliseconds } = answer;
    if (configurationObject !== undefined) holder.offer(configurationObject, 'peer');
    if (number < holder.number()) return Infinity;
    holder.confirm({ number, ageMilliseconds });
    return ageMilliseconds;
  }

  return {
    askConfiguration,
    askInstances: (address) => answerOrNothing(peers.fetchInstances(address)),
  };
}

async function answerOrNothing<Answer>(call: Promise<Answer>): Promise<Answer | undefined> {
  try {
    return await call;
  } catch {
    return undefined;
  }
}
