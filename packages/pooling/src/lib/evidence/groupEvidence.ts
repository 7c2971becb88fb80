import type { Position } from '@wisterialift/schema';
import { createFloorSamples } from './floorSamples';
import type { FloorSample } from './floorSamples';

/** What an answer of a member proved. @public */
export interface Observation {
  memberId: string;
  /** Order of the question among all events of this process; see `nextSequence`. */
  askedSequence: number;
  /** When the question was sent, in milliseconds of the steady clock. */
  askedAt: number;
  term: number;
  /** Log that the member holds in that term. */
  position: Position;
  /** Whether the member answered as the primary of that term. */
  isPrimary: boolean;
}

/** How a wait for evidence ended. @public */
export type EvidenceVerdict =
  | { type: 'proved' }
  /** A member was seen in a later term, so the answer that waits proves nothing. */
  | { type: 'superseded'; term: number };

/** A wait that ends with the first observation that decides it. @public */
export interface EvidenceWait {
  verdict: Promise<EvidenceVerdict>;
  cancel: () => void;
}

/** @public */
export interface GroupEvidence {
  /** Number of the next event; a question with a higher number was sent later. */
  nextSequence: () => number;
  observe: (observation: Observation) => void;
  /**
   * Waits until a member other than the primary holds `position` in its own term.
   *
   * A promoter stops all replicas before it reads their logs, so a position that a replica holds is
   * in the log that the next term starts from, and the commit may be acknowledged.
   */
  waitForCopy: (options: { position: Position; primaryId: string }) => EvidenceWait;
  /**
   * Waits until a member other than the primary answers in `term` to a question that was sent after
   * `sequence`.
   *
   * A commit of a later term is acknowledged only once a second member is in that term. A replica
   * that is still in `term` was therefore not the one, and the primary answered in `term` itself; so
   * no later commit had been acknowledged by `sequence`, and what the primary read is current.
   */
  waitForTerm: (options: { term: number; sequence: number; primaryId: string }) => EvidenceWait;
  /** Oldest log end of the primary seen at most `maximumAge` ms ago, or undefined. */
  findFloor: (options: { now: number; maximumAge: number }) => FloorSample | undefined;
  /** When the primary was first seen past a position, in steady milliseconds. */
  timeBeyond: (position: Position) => number | undefined;
  /** Adds a position that shows all that was acknowledged before `askedAt`. */
  addFloor: (floor: { askedAt: number; position: Position }) => void;
  /** Highest term that any member was seen in. */
  highestTerm: () => number;
  lastSeen: (memberId: string) => Observation | undefined;
  hasWaits: () => boolean;
  /** Forgets ages after the process stood still for an unknown time. */
  forgetAges: () => void;
}

interface Wait {
  check: (observation: Observation) => EvidenceVerdict | undefined;
  settle: (verdict: EvidenceVerdict) => void;
}

/**
 * Collects what the answers of a group's members prove.
 *
 * Answers flow anyway, so proofs ride on them and most statements need no question of their own.
 *
 * @public
 */
export function createGroupEvidence(): GroupEvidence {
  const samples = createFloorSamples();
  const latest = new Map<string, Observation>();
  const waits = new Set<Wait>();
  let sequence = 0;
  let highestTerm = 0;

  const startWait = (check: Wait['check']): EvidenceWait => {
    let wait: Wait | undefined;
    const verdict = new Promise<EvidenceVerdict>((resolve) => {
      const seen = [...latest.values()].map(check).find((found) => found !== undefined);
      if (seen) {
        resolve(seen);
        return;
      }
      wait = { check, settle: resolve };
      waits.add(wait);
    });
    return { verdict, cancel: () => wait && waits.delete(wait) };
  };

  const settleWaits = (observation: Observation) => {
    for (const wait of waits) {
      const verdict = wait.check(observation);
      if (verdict) {
        waits.delete(wait);
        wait.settle(verdict);
      }
    }
  };

  return {
    nextSequence: () => {
      sequence += 1;
      return sequence;
    },
    observe: (observation) => {
      const previous = latest.get(observation.memberId);
      highestTerm = Math.max(highestTerm, observation.term);
      if (!previous || isNewer(observation, previous)) {
        latest.set(observation.memberId, observation);
      }
      if (observation.isPrimary) samples.add(observation);
      settleWaits(observation);
    },
    waitForCopy: ({ position, primaryId }) =>
      startWait((seen) => {
        if (seen.term > position.term) return { type: 'superseded', term: seen.term };
        const isCopy = seen.memberId !== primaryId && !seen.isPrimary;
        const holds = seen.term === position.term && seen.position.index >= position.index;
        return isCopy && holds ? { type: 'proved' } : undefined;
      }),
    waitForTerm: ({ term, sequence: after, primaryId }) =>
      startWait((seen) => {
        if (seen.term > term) return { type: 'superseded', term: seen.term };
        const isOther = seen.memberId !== primaryId && !seen.isPrimary;
        const isFresh = seen.term === term && seen.askedSequence > after;
        return isOther && isFresh ? { type: 'proved' } : undefined;
      }),
    findFloor: ({ now, maximumAge }) =>
      samples.find({ since: now - maximumAge, term: highestTerm }),
    addFloor: ({ askedAt, position }) => {
      highestTerm = Math.max(highestTerm, position.term);
      samples.add({ askedAt, term: position.term, position });
    },
    timeBeyond: samples.timeBeyond,
    highestTerm: () => highestTerm,
    lastSeen: (memberId) => latest.get(memberId),
    hasWaits: () => waits.size > 0,
    forgetAges: () => samples.clear(),
  };
}

/** Answers of several connections cross; the one that proves most is kept. */
function isNewer(observation: Observation, previous: Observation): boolean {
  if (observation.term !== previous.term) return observation.term > previous.term;
  return observation.askedSequence >= previous.askedSequence;
}
