import type { UpstreamAnswer } from '@wisterialift/pooling';
import type { AttemptOutcome, NotSentCause } from './attemptCommand';
import type { ReadPositionRefresher } from './readPositionRefresher';
import type { GroupContext } from './groupContext';
import { releaseConnection } from './releaseConnection';
import { createHedgedReads } from './hedgedReads';
import type { ReadAttempt, ReadCommandFactory } from './hedgedReads';
import { backOffFromMember } from './member';
import type { Member } from './member';
import { handleMissingCommit } from './ownCommit';
import { planPolls } from './primaryVerifier';
import type { PrimaryVerifier } from './primaryVerifier';
import { createReadAttemptLog } from './readAttemptLog';
import { createReadCandidates, STALENESS_MARGIN_MILLISECONDS } from './readCandidates';
import type { ReadCandidate } from './readCandidates';
import { refuseUnroutable } from './refusals';
import type { MemberQueue } from './returnGuidance';
import type { StatementRequest } from './statementRequest';
import type { SoleMemberGuard } from './soleMemberGuard';
import type { PooledConnection } from './upstreamPool';

/** Where a read ran. The receiver must release the connection. */
export interface RoutedRead {
  member: Member;
  /** Whether the member was considered the primary. */
  isPrimary: boolean;
  connection: PooledConnection;
  answer: UpstreamAnswer;
}

export interface ReadRouter {
  /** Runs a command at a member that meets the route's consistency; refusals omit `routed`. */
  run: (
    request: StatementRequest,
    createCommand: ReadCommandFactory,
  ) => Promise<{ answer: UpstreamAnswer; routed?: RoutedRead }>;
  /** Returns the members that can run a read, now or once they have applied the required log. */
  listQueues: (request: StatementRequest) => MemberQueue[];
}

/** Pause before candidates are evaluated again. */
const RETRY_DELAY_MILLISECONDS = 25;

/** Backoff from a busy member: about the duration of one statement. */
const BUSY_BACKOFF_MILLISECONDS = 30;

/** Backoff from a replica that refused a read because it lags. */
const LAGGING_BACKOFF_MILLISECONDS = 25;

/** Causes that exclude a member from the search until no other candidate remains. */
const EXCLUSION_CAUSES: ReadonlySet<NotSentCause> = new Set(['noCapacity', 'leaving']);

/** State of the search for a member that can run a read. */
interface ReadSearch {
  /** Members without capacity or leaving, left out of the ranking. */
  excludedMembers: Set<Member>;
  hasRefreshedReadPosition: boolean;
  /** Member at which the read has failed, if it is repeated elsewhere. */
  failedMember?: Member;
  /** Its answer, which the caller gets if no other member can run the read. */
  failedAnswer?: UpstreamAnswer;
  /** Whether the read may be repeated; the start of a transaction is not. */
  canRepeat: boolean;
}

/** The best two candidates that can meet the read's deadline. */
interface RankedCandidates {
  first: ReadCandidate;
  second: ReadCandidate | undefined;
}

type ReadVerdict = 'accepted' | 'retry' | 'final' | 'excludeMember';

export function createReadRouter(
  context: GroupContext,
  {
    verifier,
    soleMemberGuard,
    readPositions,
  }: {
    verifier: PrimaryVerifier;
    soleMemberGuard: SoleMemberGuard;
    readPositions: ReadPositionRefresher;
  },
): ReadRouter {
  const {
    primaryTracker,
    clock,
    counters,
    evidence,
    failureEjection,
    leavingPolicy,
    logger,
    group,
    isMechanismEnabled,
    isLoadControlEnabled,
  } = context;
  const candidates = createReadCandidates(context, verifier);
  const hedgedReads = createHedgedReads(context);

  const timeLeftOf = (request: StatementRequest) => request.deadlineAt - clock.now();

  const canUseReplica = ({ route }: StatementRequest) => route.consistency !== 'primary';

  async function run(
    request: StatementRequest,
    createCommand: ReadCommandFactory,
  ): Promise<{ answer: UpstreamAnswer; routed?: RoutedRead }> {
    hedgedReads.recordRead();
    failureEjection.recordRead();
    if (leavingPolicy.isGroupClosed()) return { answer: refuseRead(request) };
    if (canUseReplica(request) && !candidates.hasPosition(request)) await readPositions.refresh();
    const stopPolling = pollAhead(request);
    try {
      const attemptLog = createReadAttemptLog(context, request);
      const search: ReadSearch = {
        excludedMembers: new Set(),
        hasRefreshedReadPosition: false,
        canRepeat: createCommand().type !== 'begin',
      };
      const refuse = () => ({ answer: search.failedAnswer ?? refuseRead(request) });
      for (;;) {
        const found = await findMembers(request, search);
        if (!found) return refuse();
        const options = { request, createCommand, attemptLog, ...found };
        const attempt = await hedgedReads.run(options);
        const { candidate, outcome } = attempt;
        const verdict = await evaluateOutcome(request, candidate, outcome);
        if (outcome.type === 'answered') {
          const { answer, connection } = outcome;
          if (verdict === 'accepted') {
            return { answer, routed: { ...candidate, answer, connection } };
          }
          releaseConnection(context, { ...candidate, connection, transaction: answer.transaction });
          if (verdict === 'final') {
            if (!tryRepeat(request, search, attempt)) return { answer };
            Object.assign(search, { failedMember: candidate.member, failedAnswer: answer });
            logRepeat(request, candidate);
            attemptLog.start();
          }
        }
        if (verdict === 'excludeMember') {
          if (!isMechanismEnabled('secondChoice')) return refuse();
          search.excludedMembers.add(candidate.member);
        }
        if (mayHaveRun(outcome)) attemptLog.start();
        counters.retries += 1;
      }
    } finally {
      stopPolling?.();
    }
  }

  /**
   * Polls for the evidence that a read of the primary needs while the read itself runs.
   *
   * @returns a function that stops the polling; undefined if the evidence is not polled for.
   */
  function pollAhead(request: StatementRequest): (() => void) | undefined {
    const isWanted = !canUseReplica(request) && isLoadControlEnabled('promptEvidence');
    return isWanted ? verifier.pollAhead(planPolls(context, request.route)) : undefined;
  }

  /**
   * Whether to repeat a read that a replica has answered with a failure at another member. A hedged
   * read has been sent to two members already.
   */
  function tryRepeat(
    request: StatementRequest,
    search: ReadSearch,
    { candidate: { member, isPrimary }, outcome, isHedged }: ReadAttempt,
  ): boolean {
    if (outcome.type !== 'answered' || outcome.answer.outcome !== 'refused') return false;
    if (outcome.answer.reason !== 'failed' || isPrimary || isHedged) return false;
    if (!search.canRepeat || search.failedMember) return false;
    if (!canRunElsewhere(request, { ...search, failedMember: member })) return false;
    return failureEjection.tryRepeat(member);
  }

  /** Whether a member at which the read has not failed can run it, if not at once. */
  function canRunElsewhere(request: StatementRequest, search: ReadSearch): boolean {
    const others = candidates.rank(request, { ...search, includesAvoided: true });
    return others.some(({ wait }) => wait <= timeLeftOf(request));
  }

  function logRepeat({ id: requestId }: StatementRequest, { member }: ReadCandidate): void {
    logger.info('failedReadRepeated', { group, requestId, memberId: member.entry.memberId });
  }

  /** Waits until a member can run the read; undefined if none can before the deadline. */
  async function findMembers(
    request: StatementRequest,
    search: ReadSearch,
  ): Promise<RankedCandidates | undefined> {
    while (timeLeftOf(request) > 0 && !leavingPolicy.isGroupClosed()) {
      const all = candidates.rank(request, search);
      const [first, second] = all.filter(({ wait }) => wait <= timeLeftOf(request));
      if (!first && all.length > 0) return undefined;
      if (!first && search.excludedMembers.size > 0) {
        // An excluded member may have capacity by now.
        const canBeTriedAgain = { ...search, excludedMembers: undefined };
        if (!candidates.hasIdle(request, canBeTriedAgain)) return undefined;
        search.excludedMembers.clear();
        continue;
      }
      if (!first && verifier.isStalled()) return undefined;
      if (!first && search.failedMember && !canRunElsewhere(request, search)) return undefined;
      if (first && shouldRefreshReadPosition(request, search, first)) {
        Object.assign(search, { hasRefreshedReadPosition: true });
        await readPositions.refresh();
        continue;
      }
      if (first?.wait === 0) return { first, second };
      if (first && !isMechanismEnabled('waitingForReplicas')) return undefined;
      await primaryTracker.waitForChange(Math.min(RETRY_DELAY_MILLISECONDS, timeLeftOf(request)));
    }
    return undefined;
  }

  /** Whether to query a read position so that replicas can relieve a primary without capacity. */
  function shouldRefreshReadPosition(
    request: StatementRequest,
    { hasRefreshedReadPosition }: ReadSearch,
    { member, isPrimary }: ReadCandidate,
  ): boolean {
    const isReadPositionMissing = canUseReplica(request) && !candidates.hasPosition(request);
    return (
      isReadPositionMissing && !hasRefreshedReadPosition && isPrimary && !member.admission.hasRoom()
    );
  }

  function refuseRead(request: StatementRequest): UpstreamAnswer {
    if (timeLeftOf(request) > 0 && candidates.hasIdle(request)) counters.refusedBesideIdle += 1;
    const detail = soleMemberGuard.describeRefusal() ?? 'no member can show the read in time';
    return refuseUnroutable(context, request, 'aborted', detail, candidates.listQueues(request));
  }

  async function evaluateOutcome(
    request: StatementRequest,
    candidate: ReadCandidate,
    outcome: AttemptOutcome,
  ): Promise<ReadVerdict> {
    if (outcome.type !== 'answered') {
      handleUnanswered(candidate, outcome);
      const cause = outcome.type === 'notSent' ? outcome.cause : undefined;
      if (cause === 'leaving') await primaryTracker.waitForChange(RETRY_DELAY_MILLISECONDS);
      return cause && EXCLUSION_CAUSES.has(cause) ? 'excludeMember' : 'retry';
    }
    const { answer } = outcome;
    if (answer.outcome === 'refused') return evaluateRefusal(request, candidate, answer);
    if (!answer.position) return 'retry';
    const { term } = answer.position;
    // Also verify a member confirmed for this term or a later one that is no longer considered the
    // primary: the required position may be its own, so an equal term proves nothing.
    const { memberId } = candidate.member.entry;
    const isPrimaryAnswer =
      candidate.isPrimary || primaryTracker.getConfirmedTerm(memberId) >= term;
    if (!isPrimaryAnswer) return term === candidate.after?.term ? 'accepted' : 'retry';
    const isCurrent = await verifier.verifyCurrent({
      member: candidate.member,
      term,
      confirmedTerm: candidate.confirmedTerm,
      eventStamp: request.arrivalStamp,
      maximumStaleness: request.route.maximumStaleness - STALENESS_MARGIN_MILLISECONDS,
      polls: planPolls(context, request.route),
      deadlineAt: request.deadlineAt,
    });
    return isCurrent ? 'accepted' : 'retry';
  }

  function handleUnanswered(candidate: ReadCandidate, outcome: AttemptOutcome): void {
    const isUnreachable = outcome.type === 'notSent' && outcome.cause === 'unreachable';
    if (candidate.isPrimary && (isUnreachable || outcome.type === 'lost')) {
      context.suspectPrimary(isUnreachable ? 'unreachable' : 'silent', candidate.member);
    }
    if (outcome.type === 'lost' && outcome.cause === 'broken') {
      backOffFromMember(candidate.member, clock.now());
    }
  }

  function evaluateRefusal(
    request: StatementRequest,
    { member, isPrimary, after }: ReadCandidate,
    answer: UpstreamAnswer & { outcome: 'refused' },
  ): ReadVerdict {
    const now = clock.now();
    const handlers: Partial<Record<typeof answer.reason, () => ReadVerdict>> = {
      busy: () => {
        Object.assign(member, { avoidUntil: now + BUSY_BACKOFF_MILLISECONDS });
        return 'retry';
      },
      lagging: () => {
        Object.assign(member, { avoidUntil: now + LAGGING_BACKOFF_MILLISECONDS });
        if (isPrimary) handleMissingCommit(context, request, { member, after, answer });
        return 'retry';
      },
      readOnly: () => {
        primaryTracker.rejectPrimary(member, answer.position?.term ?? evidence.getHighestTerm());
        return 'retry';
      },
      unknownStatement: () => 'retry',
    };
    return handlers[answer.reason]?.() ?? 'final';
  }

  return { run, listQueues: candidates.listQueues };
}

/** Whether the member may have run the read of this attempt. */
function mayHaveRun(outcome: AttemptOutcome): boolean {
  if (outcome.type !== 'answered') return outcome.type === 'lost';
  return outcome.answer.outcome === 'completed';
}
