import { comparePositions } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import { computeAgeUpperBound } from '../timing/clockReadings';
import type { ClockReadings } from '../timing/clockReadings';
import { determineCommitOutcome, holdsTermStart } from '../promotion/termStart';
import type { CommitOutcome, TermStart } from '../promotion/termStart';
import { createPositionHistory } from './positionHistory';
import type { PositionSample } from './positionHistory';

/** Term, log positions and role that a member reported in one answer. @public */
export interface MemberObservation {
  memberId: string;
  /** Sequence number of the request, from `takeNextSequenceNumber`. */
  requestSequenceNumber: number;
  /** When the request was sent. */
  requestedAt: ClockReadings;
  term: number;
  /** End of the log that the member has received; may be of a term lower than `term`. */
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

/** A pending question, resolved by the first observation that decides it. @public */
export interface ObservationWait<Result> {
  result: Promise<Result>;
  cancel: () => void;
}

/** A pending confirmation. @public */
export type ConfirmationWait = ObservationWait<ConfirmationResult>;

/** What becomes of a commit whose primary was replaced, as far as one later term decides it. @public */
export type SettlementResult =
  { type: CommitOutcome } | (ConfirmationResult & { type: 'superseded' });

/** A member list and what is known of its members, to decide what survives a promotion. @public */
export interface HolderOptions {
  primaryId: string;
  /** Current members of the group, including the primary. */
  memberIds: () => string[];
  /** Members that departed so recently that other instances may count their word. */
  departedIds: () => string[];
  /** Whether the member is known to be in the group's register; see `memberRegisterSchema`. */
  isRegistered: (memberId: string) => boolean;
  /** Whether these and the primary are all members that an instance may know. */
  isHeldByAll: (memberIds: string[]) => boolean;
}

/** A pending confirmation that a commit is replicated. @public */
export interface ReplicationWait extends ConfirmationWait {
  /** Whether another member was seen to hold the commit, be it registered or not. */
  isReceived: () => boolean;
}

/** Replication state of a group, as observed from its members' answers. @public */
export interface ReplicationTracker {
  /** Returns the next sequence number; requests sent later have higher numbers. */
  takeNextSequenceNumber: () => number;
  observe: (observation: MemberObservation) => void;
  /**
   * Waits until a replica has received `position`, and it and all other replicas except at most one
   * have applied an entry of its term.
   *
   * The first condition makes the commit survive a promotion, which pauses all replicas and starts
   * the next term from their highest log end. It holds for instances with another list of members
   * only if the primary and the replica are registered, or every replica that one of them may know has
   * received the position.
   * The second condition lets `waitForTermConfirmation` rely on one replica.
   */
  waitForReplication: (options: HolderOptions & { position: Position }) => ReplicationWait;
  /**
   * Waits until it is settled whether the log of a later term holds a commit of a replaced primary.
   *
   * That the term has started does not settle it: if no other member has taken over the log that it
   * started from, the former primary may be promoted again, with the log that it has. Once a member
   * besides the primary of the term has, every further promotion starts from that log or one that grew
   * from it; see `choosePromotionCandidate`.
   *
   * @param options.position - must be decided by `started`; see `determineCommitOutcome`.
   */
  waitForSettlement: (
    options: HolderOptions & { position: Position; started: TermStart },
  ) => ObservationWait<SettlementResult>;
  /**
   * Waits until a replica answers in `term` to a request sent after `sequence`, which shows that
   * what the primary read is current.
   *
   * A commit of a later term is acknowledged only once at most one member besides its primary has
   * applied none of its entries. The answering replica and the primary of `term` are two such
   * members, so no such commit preceded the read. Only applied entries count, since reads show no
   * others: a replica that has only received an entry of the later term still answers in the earlier
   * one, and a read would miss a commit that was acknowledged on that entry.
   *
   * The acknowledging instance waits for a registered replica, be it as a departed one. If none answers,
   * all others have to.
   */
  waitForTermConfirmation: (
    options: Pick<HolderOptions, 'primaryId' | 'isRegistered' | 'isHeldByAll'> & {
      term: number;
      sequence: number;
    },
  ) => ConfirmationWait;
  /**
   * Minimum position for a read that accepts data up to `maximumAge` ms old: the oldest sample of
   * the highest term that was requested within that time, or undefined.
   */
  findFloor: (options: AgeLimit) => PositionSample | undefined;
  /**
   * Request time of the oldest retained sample of the same term with a higher index, in milliseconds
   * of the monotonic clock, or undefined.
   */
  findTimeObservedBeyond: (position: Position) => number | undefined;
  /** Adds a position that covers everything acknowledged before `requestedAt`. */
  addFloor: (
    floor: Pick<MemberObservation, 'requestSequenceNumber' | 'requestedAt' | 'position'>,
  ) => void;
  /** Highest term that any member was seen in. */
  getHighestTerm: () => number;
  getLatestObservation: (memberId: string) => MemberObservation | undefined;
  /** Whether an observation was requested at most `maximumAge` ms before `now`. */
  isRecent: (observation: MemberObservation, limit: AgeLimit) => boolean;
  hasPendingWaits: () => boolean;
  /** Evaluates the pending waits again, after members were registered or removed. */
  reevaluate: () => void;
  /** Discards the observations of a member that left the group. */
  removeMember: (memberId: string) => void;
  /**
   * Discards the observations of a restarted member and accepts none for confirmation that were
   * requested before `validFrom`, in milliseconds of the monotonic clock.
   *
   * A promotion may have read the member's log before the restart and would miss a commit that the
   * member confirms afterwards. By `validFrom` every such promotion has ended.
   */
  discardObservationsBefore: (memberId: string, options: { validFrom: number }) => void;
  /**
   * Relies on no age of what has been requested so far, because the clocks disagreed. Answers that
   * are still to arrive are included.
   */
  discardAges: () => void;
}

/** Age relative to a time, by whichever clock advanced more. @public */
export interface AgeLimit {
  now: ClockReadings;
  /** Milliseconds. */
  maximumAge: number;
}

/** Resolves the wait if the observations so far decide it; returns whether they do. */
type PendingWait = () => boolean;

/**
 * Tracks the replication state of a group from the answers of its members.
 *
 * Answers to callers' statements count as well, so most statements need no request of their own.
 *
 * @public
 */
export function createReplicationTracker(): ReplicationTracker {
  const positionHistory = createPositionHistory();
  const latestObservations = new Map<string, MemberObservation>();
  const receivedPositions = new Map<string, Position>();
  const appliedTerms = new Map<string, number>();
  const validFrom = new Map<string, number>();
  const waits = new Set<PendingWait>();
  let sequence = 0;
  /** Sequence number of the last request whose age is unknown. */
  let ageUnknownThrough = 0;
  let highestTerm = 0;

  /** @param evaluate - returns the result if the observations so far decide it. */
  const startWait = <Result>(evaluate: () => Result | undefined): ObservationWait<Result> => {
    let tryResolve: PendingWait = () => true;
    const result = new Promise<Result>((resolve) => {
      tryResolve = () => {
        const decided = evaluate();
        if (decided !== undefined) resolve(decided);
        return decided !== undefined;
      };
    });
    if (!tryResolve()) waits.add(tryResolve);
    return { result, cancel: () => waits.delete(tryResolve) };
  };

  const resolveDecidedWaits = () => {
    for (const tryResolve of waits) if (tryResolve()) waits.delete(tryResolve);
  };

  /**
   * Keeps the highest position, since logs are never truncated within a term. Ignores log ends of
   * earlier terms, which may still be truncated.
   */
  const recordReceivedPosition = ({ memberId, term, position }: MemberObservation) => {
    const known = receivedPositions.get(memberId);
    const isHigher = known === undefined || comparePositions(position, known) > 0;
    if (term === position.term && isHigher) receivedPositions.set(memberId, position);
  };

  const recordAppliedTerm = ({ memberId, applied }: MemberObservation) => {
    const known = appliedTerms.get(memberId) ?? -Infinity;
    appliedTerms.set(memberId, Math.max(known, applied.term));
  };

  const hasAppliedTerm = (memberId: string, term: number) =>
    (appliedTerms.get(memberId) ?? -Infinity) >= term;

  const removeMember = (memberId: string) => {
    latestObservations.delete(memberId);
    receivedPositions.delete(memberId);
    appliedTerms.delete(memberId);
  };

  const isObservationValid = ({ memberId, requestedAt }: MemberObservation) =>
    requestedAt.monotonic >= (validFrom.get(memberId) ?? -Infinity);

  const isAgeKnown = ({
    requestSequenceNumber,
  }: Pick<MemberObservation, 'requestSequenceNumber'>) => requestSequenceNumber > ageUnknownThrough;

  const hasReceived = (memberId: string, { term, index }: Position) => {
    const known = receivedPositions.get(memberId);
    return hasAppliedTerm(memberId, term) && known?.term === term && known.index >= index;
  };

  const getSupersededResult = (term: number) =>
    highestTerm > term ? ({ type: 'superseded', term: highestTerm } as const) : undefined;

  const listOthers = ({ memberIds, primaryId }: HolderOptions) =>
    memberIds().filter((memberId) => memberId !== primaryId);

  /**
   * Whether all members besides the primary, except at most one, have applied an entry of the term. A
   * departed one may confirm reads of a former primary elsewhere.
   */
  const isTermApplied = (term: number, options: HolderOptions) => {
    const { departedIds, primaryId } = options;
    const departed = departedIds().filter((memberId) => memberId !== primaryId);
    const others = [...new Set([...listOthers(options), ...departed])];
    const inTerm = others.filter((memberId) => hasAppliedTerm(memberId, term));
    return inTerm.length >= others.length - 1;
  };

  /** Whether a promotion by any list of members finds the log of the primary or of a holder. */
  const isFoundByPromotions = (
    holders: string[],
    { primaryId, isRegistered, isHeldByAll }: HolderOptions,
  ) => {
    const isHeldByRegistered = isRegistered(primaryId) && holders.some(isRegistered);
    return isHeldByRegistered || (holders.length > 0 && isHeldByAll(holders));
  };

  const isReplicated = (position: Position, options: HolderOptions) => {
    if (!isTermApplied(position.term, options)) return false;
    const holders = listOthers(options).filter((memberId) => hasReceived(memberId, position));
    return isFoundByPromotions(holders, options);
  };

  const findSettlement = (
    position: Position,
    started: TermStart,
    options: HolderOptions,
  ): SettlementResult | undefined => {
    const holders = listOthers(options).filter((memberId) => {
      const seen = latestObservations.get(memberId);
      return seen && holdsTermStart(seen, started);
    });
    if (!isFoundByPromotions(holders, options)) return undefined;
    const outcome = determineCommitOutcome(position, started);
    if (outcome === 'kept' && !isTermApplied(position.term, options)) return undefined;
    return outcome && { type: outcome };
  };

  return {
    takeNextSequenceNumber: () => {
      sequence += 1;
      return sequence;
    },
    observe: (observation) => {
      const previous = latestObservations.get(observation.memberId);
      highestTerm = Math.max(highestTerm, observation.term);
      if (isObservationValid(observation)) {
        if (!previous || isNewer(observation, previous)) {
          latestObservations.set(observation.memberId, observation);
        }
        recordReceivedPosition(observation);
        recordAppliedTerm(observation);
      }
      if (observation.isPrimary && isAgeKnown(observation)) positionHistory.add(observation);
      resolveDecidedWaits();
    },
    waitForReplication: ({ position, ...options }) => {
      const wait = startWait<ConfirmationResult>(
        () =>
          getSupersededResult(position.term) ??
          (isReplicated(position, options) ? { type: 'proved' } : undefined),
      );
      const isReceived = () =>
        listOthers(options).some((memberId) => hasReceived(memberId, position));
      return { ...wait, isReceived };
    },
    waitForSettlement: ({ position, started, ...options }) =>
      startWait<SettlementResult>(
        () => getSupersededResult(started.term) ?? findSettlement(position, started, options),
      ),
    waitForTermConfirmation: ({ term, sequence: readSequence, ...options }) =>
      startWait<ConfirmationResult>(() => {
        const superseded = getSupersededResult(term);
        if (superseded) return superseded;
        const confirmers = [...latestObservations.values()]
          .filter(
            (observation) =>
              observation.memberId !== options.primaryId &&
              !observation.isPrimary &&
              observation.term === term &&
              observation.requestSequenceNumber > readSequence,
          )
          .map(({ memberId }) => memberId);
        const isConfirmed =
          confirmers.some(options.isRegistered) || options.isHeldByAll(confirmers);
        return isConfirmed ? { type: 'proved' } : undefined;
      }),
    findFloor: ({ now, maximumAge }) =>
      positionHistory.findOldest({ now, maximumAge, term: highestTerm }),
    addFloor: (floor) => {
      const { requestedAt, position } = floor;
      highestTerm = Math.max(highestTerm, position.term);
      if (isAgeKnown(floor)) positionHistory.add({ requestedAt, term: position.term, position });
    },
    findTimeObservedBeyond: positionHistory.findTimeObservedBeyond,
    getHighestTerm: () => highestTerm,
    getLatestObservation: (memberId) => latestObservations.get(memberId),
    isRecent: (observation, { now, maximumAge }) =>
      isAgeKnown(observation) && computeAgeUpperBound(observation.requestedAt, now) <= maximumAge,
    removeMember,
    discardObservationsBefore: (memberId, options) => {
      removeMember(memberId);
      validFrom.set(memberId, options.validFrom);
    },
    hasPendingWaits: () => waits.size > 0,
    reevaluate: resolveDecidedWaits,
    discardAges: () => {
      ageUnknownThrough = sequence;
      positionHistory.clear();
    },
  };
}

/** Answers on different connections may arrive out of order. */
function isNewer(observation: MemberObservation, previous: MemberObservation): boolean {
  if (observation.term !== previous.term) return observation.term > previous.term;
  return observation.requestSequenceNumber >= previous.requestSequenceNumber;
}
