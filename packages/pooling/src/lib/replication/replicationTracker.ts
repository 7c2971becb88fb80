import { comparePositions } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import { createPositionHistory } from './positionHistory';
import type { PositionSample } from './positionHistory';

/** Term, log positions and role that a member reported in one answer. @public */
export interface Observation {
  memberId: string;
  /** Sequence number of the request, from `nextSequence`. */
  askedSequence: number;
  /** When the request was sent, in milliseconds of the monotonic clock. */
  askedAt: number;
  term: number;
  /** End of the log that the member has received, as of `term`. */
  position: Position;
  /** End of the log that the member has applied and its reads show; may be of an earlier term. */
  applied: Position;
  /** Whether the member answered as the primary of `term`. */
  isPrimary: boolean;
}

/** Result of a wait for confirmation by other members. @public */
export type ConfirmationResult =
  | { type: 'proved' }
  /** A member was seen in a later term, so the awaited answer no longer confirms anything. */
  | { type: 'superseded'; term: number };

/** A pending confirmation, resolved by the first observation that decides it. @public */
export interface EvidenceWait {
  verdict: Promise<ConfirmationResult>;
  cancel: () => void;
}

/** Replication state of a group, as observed from its members' answers. @public */
export interface GroupEvidence {
  /** Returns the next sequence number; requests sent later have higher numbers. */
  nextSequence: () => number;
  observe: (observation: Observation) => void;
  /**
   * Waits until all replicas but at most one have applied an entry of the term of `position`, and
   * one of those has received `position`.
   *
   * Promotion stops all replicas before it reads their logs, so a received position is in the log
   * that the next term starts from. Counting the others protects reads, see `waitForTerm`.
   */
  waitForCopy: (options: {
    position: Position;
    primaryId: string;
    /** Current members of the group, including the primary. */
    memberIds: () => string[];
  }) => EvidenceWait;
  /**
   * Waits until a replica answers in `term` to a request sent after `sequence`, which shows that
   * what the primary read is current.
   *
   * A commit of a later term is acknowledged only when all of that term's replicas but at most one
   * have applied an entry of it; here the replica and the primary both still answer in `term`.
   * Received but unapplied entries count on neither side, since reads do not show them.
   */
  waitForTerm: (options: { term: number; sequence: number; primaryId: string }) => EvidenceWait;
  /** Oldest log end of the primary that was requested at most `maximumAge` ms ago, or undefined. */
  findFloor: (options: { now: number; maximumAge: number }) => PositionSample | undefined;
  /** When the primary was first seen beyond `position`, in milliseconds of the monotonic clock. */
  timeBeyond: (position: Position) => number | undefined;
  /** Adds a position that covers everything acknowledged before `askedAt`. */
  addFloor: (floor: { askedAt: number; position: Position }) => void;
  /** Highest term that any member was seen in. */
  highestTerm: () => number;
  lastSeen: (memberId: string) => Observation | undefined;
  hasPendingWaits: () => boolean;
  /** Discards the observations of a member that was removed or has a new address. */
  forgetMember: (memberId: string) => void;
  /**
   * Discards the observations of a restarted member and accepts none for confirmation that were
   * requested before `trustedFrom`, in milliseconds of the monotonic clock.
   *
   * A promotion may have read the member's log before the restart and would miss a commit that the
   * member confirms afterwards. By `trustedFrom` every such promotion has ended.
   */
  restartMember: (memberId: string, options: { trustedFrom: number }) => void;
  /** Clears the samples of the primary's log; their ages are unknown after a suspension. */
  forgetAges: () => void;
}

interface PendingWait {
  /** Returns the result if the observations so far decide it. */
  evaluate: () => ConfirmationResult | undefined;
  resolve: (verdict: ConfirmationResult) => void;
}

/**
 * Tracks the replication state of a group from the answers of its members.
 *
 * Answers to callers' statements count as well, so most statements need no request of their own.
 *
 * @public
 */
export function createGroupEvidence(): GroupEvidence {
  const positionHistory = createPositionHistory();
  const latestObservations = new Map<string, Observation>();
  const receivedPositions = new Map<string, Position>();
  const appliedTerms = new Map<string, number>();
  const trustedFrom = new Map<string, number>();
  const waits = new Set<PendingWait>();
  let sequence = 0;
  let highestTerm = 0;

  const startWait = (evaluate: PendingWait['evaluate']): EvidenceWait => {
    let wait: PendingWait | undefined;
    const verdict = new Promise<ConfirmationResult>((resolve) => {
      const decided = evaluate();
      if (decided) {
        resolve(decided);
        return;
      }
      wait = { evaluate, resolve };
      waits.add(wait);
    });
    return { verdict, cancel: () => wait && waits.delete(wait) };
  };

  const resolveDecidedWaits = () => {
    for (const wait of waits) {
      const verdict = wait.evaluate();
      if (verdict) {
        waits.delete(wait);
        wait.resolve(verdict);
      }
    }
  };

  /** Keeps the highest position: within a term, logs are never truncated. */
  const recordReceivedPosition = ({ memberId, term, position }: Observation) => {
    const known = receivedPositions.get(memberId);
    const isHigher = known === undefined || comparePositions(position, known) > 0;
    if (term === position.term && isHigher) receivedPositions.set(memberId, position);
  };

  const recordAppliedTerm = ({ memberId, applied }: Observation) => {
    const known = appliedTerms.get(memberId) ?? -Infinity;
    appliedTerms.set(memberId, Math.max(known, applied.term));
  };

  const hasAppliedTerm = (memberId: string, term: number) =>
    (appliedTerms.get(memberId) ?? -Infinity) >= term;

  const forgetMember = (memberId: string) => {
    latestObservations.delete(memberId);
    receivedPositions.delete(memberId);
    appliedTerms.delete(memberId);
  };

  const isTrusted = ({ memberId, askedAt }: Observation) =>
    askedAt >= (trustedFrom.get(memberId) ?? -Infinity);

  const hasReceived = (memberId: string, { term, index }: Position) => {
    const known = receivedPositions.get(memberId);
    return hasAppliedTerm(memberId, term) && known?.term === term && known.index >= index;
  };

  const getSupersededResult = (term: number): ConfirmationResult | undefined =>
    highestTerm > term ? { type: 'superseded', term: highestTerm } : undefined;

  return {
    nextSequence: () => {
      sequence += 1;
      return sequence;
    },
    observe: (observation) => {
      const previous = latestObservations.get(observation.memberId);
      highestTerm = Math.max(highestTerm, observation.term);
      if (isTrusted(observation)) {
        if (!previous || isNewer(observation, previous)) {
          latestObservations.set(observation.memberId, observation);
        }
        recordReceivedPosition(observation);
        recordAppliedTerm(observation);
      }
      if (observation.isPrimary) positionHistory.add(observation);
      resolveDecidedWaits();
    },
    waitForCopy: ({ position, primaryId, memberIds }) =>
      startWait(() => {
        const superseded = getSupersededResult(position.term);
        if (superseded) return superseded;
        const otherMembers = memberIds().filter((memberId) => memberId !== primaryId);
        const membersInTerm = otherMembers.filter((memberId) =>
          hasAppliedTerm(memberId, position.term),
        );
        if (membersInTerm.length < otherMembers.length - 1) return undefined;
        const isReplicated = membersInTerm.some((memberId) => hasReceived(memberId, position));
        return isReplicated ? { type: 'proved' } : undefined;
      }),
    waitForTerm: ({ term, sequence: readSequence, primaryId }) =>
      startWait(() => {
        const superseded = getSupersededResult(term);
        if (superseded) return superseded;
        const isConfirmed = [...latestObservations.values()].some(
          (observation) =>
            observation.memberId !== primaryId &&
            !observation.isPrimary &&
            observation.term === term &&
            observation.askedSequence > readSequence,
        );
        return isConfirmed ? { type: 'proved' } : undefined;
      }),
    findFloor: ({ now, maximumAge }) =>
      positionHistory.findOldest({ since: now - maximumAge, term: highestTerm }),
    addFloor: ({ askedAt, position }) => {
      highestTerm = Math.max(highestTerm, position.term);
      positionHistory.add({ askedAt, term: position.term, position });
    },
    timeBeyond: positionHistory.findTimeBeyond,
    highestTerm: () => highestTerm,
    lastSeen: (memberId) => latestObservations.get(memberId),
    forgetMember,
    restartMember: (memberId, options) => {
      forgetMember(memberId);
      trustedFrom.set(memberId, options.trustedFrom);
    },
    hasPendingWaits: () => waits.size > 0,
    forgetAges: () => positionHistory.clear(),
  };
}

/** Answers on different connections may arrive out of order. */
function isNewer(observation: Observation, previous: Observation): boolean {
  if (observation.term !== previous.term) return observation.term > previous.term;
  return observation.askedSequence >= previous.askedSequence;
}
