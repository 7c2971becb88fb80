import { CLAIM_TAKEOVER_MILLISECONDS } from '@wisterialift/pooling';
import type { Clock } from '../ports/clock';
import type { StoredPromotionRecord } from '../ports/platformPort';

/** Observes for how long a group's promotion record stays unchanged. */
export interface RecordObserver {
  /** Returns for how long this instance has seen the record at its revision, in milliseconds. */
  getAge: (stored: StoredPromotionRecord) => number;
  /** Whether the instance that claimed a promotion may still send commands. */
  isHeld: (stored: StoredPromotionRecord) => boolean;
}

export function createRecordObserver(clock: Clock): RecordObserver {
  let seen: { revision: number; since: number } | undefined;

  function getAge({ revision }: StoredPromotionRecord): number {
    if (seen?.revision !== revision) seen = { revision, since: clock.now() };
    return clock.now() - seen.since;
  }

  return {
    getAge,
    isHeld: (stored) => stored.record.isClaimed && getAge(stored) < CLAIM_TAKEOVER_MILLISECONDS,
  };
}
