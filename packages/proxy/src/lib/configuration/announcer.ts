import { setTimeout as sleep } from 'node:timers/promises';
import { chooseAudience } from '@wisterialift/core';
import type { ConfigurationSource } from '@wisterialift/core';
import type { PeerClient, PublishedPrimary } from '@wisterialift/peer';
import type { ConfigurationObject } from '@wisterialift/schema';
import type { InstanceKeeper } from './instanceKeeper';
import type { ConfigurationTaskTimes } from './times';

/** Tells peers what is news. Whoever is missed asks by itself later. @internal */
export interface Announcer {
  announceConfiguration: (object: ConfigurationObject, source: ConfigurationSource) => void;
  /** Resolves when each peer has answered or failed. */
  announcePrimary: (published: PublishedPrimary) => Promise<void>;
  announceLeaving: () => Promise<void>;
}

/** @internal */
export function createAnnouncer(options: {
  peers: PeerClient;
  /** Number in force here. */
  currentNumber: () => number;
  instances: InstanceKeeper;
  times: ConfigurationTaskTimes;
  signal: AbortSignal;
}): Announcer {
  const { peers, currentNumber, instances, times, signal } = options;

  function announceConfiguration(object: ConfigurationObject, source: ConfigurationSource): void {
    const neighbourhood = { self: instances.self(), instances: instances.instances(), source };
    chooseAudience(neighbourhood).forEach(({ peerAddress }) => {
      void announceTo(peerAddress, object);
    });
  }

  /** Tries again where a peer does not answer, unless a higher number has replaced this one. */
  async function announceTo(address: string, object: ConfigurationObject): Promise<void> {
    for (let attempt = 0; attempt < times.announceAttempts; attempt += 1) {
      if (signal.aborted || currentNumber() > object.number) return;
      if (await isAnswered(peers.announceConfiguration(address, object))) return;
      await sleep(times.announcePauseMilliseconds, undefined, { ref: false });
    }
  }

  async function announcePrimary(published: PublishedPrimary): Promise<void> {
    const tell = (address: string): Promise<boolean> =>
      isAnswered(peers.announcePrimary(address, published));
    await Promise.all(instances.peerAddresses().map(tell));
  }

  async function announceLeaving(): Promise<void> {
    const { name } = instances.self();
    const tell = (address: string): Promise<boolean> =>
      isAnswered(peers.announceLeaving(address, name));
    await Promise.all(instances.peerAddresses().map(tell));
  }

  return { announceConfiguration, announcePrimary, announceLeaving };
}

async function isAnswered(call: Promise<unknown>): Promise<boolean> {
  try {
    await call;
    return true;
  } catch {
    return false;
  }
}
