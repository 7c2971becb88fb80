import { setTimeout as sleep } from 'node:timers/promises';
import { chooseForwardingTargets } from '@wisterialift/core';
import type { ConfigurationSource } from '@wisterialift/core';
import type { PeerClient, PublishedPrimary } from '@wisterialift/peer';
import type { ConfigurationObject } from '@wisterialift/schema';
import type { InstanceRegistry } from './instanceRegistry';
import type { ConfigurationTaskTimes } from './configurationTaskTimes';

/**
 * Sends announcements to peers. A missed configuration or leaving reaches the peer with its next
 * read; a missed primary is not sent again.
 *
 * @internal
 */
export interface Announcer {
  announceConfiguration: (object: ConfigurationObject, source: ConfigurationSource) => void;
  /** Resolves when every peer has answered or failed. */
  announcePrimary: (published: PublishedPrimary) => Promise<void>;
  announceLeaving: () => Promise<void>;
}

/** @internal */
export function createAnnouncer(options: {
  peers: PeerClient;
  currentNumber: () => number;
  registry: InstanceRegistry;
  times: ConfigurationTaskTimes;
  signal: AbortSignal;
}): Announcer {
  const { peers, currentNumber, registry, times, signal } = options;

  function announceConfiguration(object: ConfigurationObject, source: ConfigurationSource): void {
    const topology = { self: registry.self(), instances: registry.instances(), source };
    chooseForwardingTargets(topology).forEach(({ peerAddress }) => {
      void announceToPeer(peerAddress, object);
    });
  }

  /**
   * Makes up to `announceAttempts` attempts; ends early when the peer answers, a newer configuration
   * is active or the task stops.
   */
  async function announceToPeer(address: string, object: ConfigurationObject): Promise<void> {
    for (let attempt = 0; attempt < times.announceAttempts; attempt += 1) {
      if (signal.aborted || currentNumber() > object.number) return;
      if (await hasSucceeded(peers.announceConfiguration(address, object))) return;
      await sleep(times.announceRetryDelayMilliseconds, undefined, { ref: false });
    }
  }

  async function announcePrimary(published: PublishedPrimary): Promise<void> {
    const send = (address: string): Promise<boolean> =>
      hasSucceeded(peers.announcePrimary(address, published));
    await Promise.all(registry.listPeerAddresses().map(send));
  }

  async function announceLeaving(): Promise<void> {
    const { name } = registry.self();
    const send = (address: string): Promise<boolean> =>
      hasSucceeded(peers.announceLeaving(address, name));
    await Promise.all(registry.listPeerAddresses().map(send));
  }

  return { announceConfiguration, announcePrimary, announceLeaving };
}

async function hasSucceeded(call: Promise<unknown>): Promise<boolean> {
  try {
    await call;
    return true;
  } catch {
    return false;
  }
}
