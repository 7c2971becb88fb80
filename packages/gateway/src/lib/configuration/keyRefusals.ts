import type { Clock } from '../ports/clock';
import type { GatewayConfiguration } from './gatewayConfiguration';

/**
 * Keys that were refused lately, for which the store need not be asked again.
 *
 * Callers whose key was taken away keep trying, and each look for a newer configuration is a call to the
 * store.
 */
export interface KeyRefusals {
  /** Whether a key is known to be refused without a look for a newer configuration. */
  has: (keyDigest: string) => boolean;
  /** Records that a configuration read at `checkedAt` does not list a key. */
  add: (keyDigest: string, checkedAt: number) => void;
  /** Records the keys that a version takes away, and forgets those that it lists. */
  update: (next: GatewayConfiguration, former: GatewayConfiguration | undefined) => void;
}

/** A key that is added meanwhile is refused for this long; within the bound for a new version. */
const UNKNOWN_KEY_MILLISECONDS = 3_500;

/** A key that was taken away is rarely listed again, and then arrives with its version. */
const REMOVED_KEY_MILLISECONDS = 60_000;

/** Bounds the memory that callers with invented keys can take. */
const MAXIMUM_KEYS = 2_000;

export function createKeyRefusals(clock: Clock): KeyRefusals {
  const refusedUntil = new Map<string, number>();

  function refuseUntil(keyDigest: string, until: number): void {
    if (refusedUntil.size >= MAXIMUM_KEYS) refusedUntil.clear();
    refusedUntil.set(keyDigest, until);
  }

  return {
    has: (keyDigest) => (refusedUntil.get(keyDigest) ?? -Infinity) > clock.now(),
    add: (keyDigest, checkedAt) => refuseUntil(keyDigest, checkedAt + UNKNOWN_KEY_MILLISECONDS),
    update: (next, former) => {
      const listed = next.teams?.byKeyDigest;
      for (const digest of former?.teams?.byKeyDigest.keys() ?? []) {
        if (!listed?.has(digest)) refuseUntil(digest, clock.now() + REMOVED_KEY_MILLISECONDS);
      }
      for (const digest of listed?.keys() ?? []) refusedUntil.delete(digest);
    },
  };
}
