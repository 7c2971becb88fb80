import type { UpstreamAnswer } from '@wisterialift/pooling';
import type { AttemptOutcome, NotSentCause } from './attempt';
import type { FloorKeeper } from './floorKeeper';
import type { GroupContext } from './groupContext';
import { giveBack } from './giveBack';
import { createHedgedReads } from './hedgedRead';
import type { ToReadCommand } from './hedgedRead';
import { avoidMember } from './member';
import type { Member } from './member';
import { patienceOf } from './primaryProof';
import type { PrimaryProof } from './primaryProof';
import { createReadChoices, STALENESS_MARGIN_MILLISECONDS } from './readChoices';
import type { ReadChoice } from './readChoices';
import { refuseUnplaced } from './refusals';
import type { StatementRequest } from './statementRequest';
import type { PooledConnection } from './upstreamPool';

/** Where a read ran; the connection belongs to whoever gets this. */
export interface PlacedRead {
  member: Member;
  /** Whether the member was taken for the primary. */
  isPrimary: boolean;
  connection: PooledConnection;
  answer: UpstreamAnswer;
}

export interface ReadPath {
  /** Runs a command on a log that shows what the route promises; a refusal comes without a place. */
  place: (
    request: StatementRequest,
    toReadCommand: ToReadCommand,
  ) => Promise<{ answer: UpstreamAnswer; place?: PlacedRead }>;
}

/** Pause before members that all refused are tried again. */
const RETRY_PAUSE_MILLISECONDS = 25;

/** A busy member is left alone about as long as one of its statements takes. */
const BUSY_PAUSE_MILLISECONDS = 30;

/** Pause before a replica that was behind is asked again, where its lag is not known. */
const LAGGING_PAUSE_MILLISECONDS = 25;

/** Causes for which a read looks for another member and leaves this one out. */
const TAKES_NONE: ReadonlySet<NotSentCause> = new Set(['noCapacity', 'leaving']);

/** What one read has found out on its way to a member. */
interface Search {
  /** Members that had no room for it. */
  full: Set<Member>;
  hasWaitedForFloor: boolean;
}

/** The best members that can show a read in its time. */
interface Found {
  first: ReadChoice;
  second: ReadChoice | undefined;
}

type Verdict = 'accepted' | 'retry' | 'final' | 'full';

export function createReadPath(
  context: GroupContext,
  { proof, floors }: { proof: PrimaryProof; floors: FloorKeeper },
): ReadPath {
  const { belief, clock, counters, evidence, leaving, logger, group, uses } = context;
  const choices = createReadChoices(context, proof);
  const reads = createHedgedReads(context);

  const timeLeft = (request: StatementRequest) => request.deadlineAt - clock.now();

  const mayUseReplicas = ({ route }: StatementRequest) => route.consistency !== 'primary';

  async function place(
    request: StatementRequest,
    toReadCommand: ToReadCommand,
  ): Promise<{ answer: UpstreamAnswer; place?: PlacedRead }> {
    reads.recordRead();
    if (leaving.isGroupClosed()) return { answer: refuseRead(request) };
    if (mayUseReplicas(request) && !choices.hasFloor(request)) await floors.refresh();
    const search: Search = { full: new Set(), hasWaitedForFloor: false };
    for (;;) {
      const found = await findMembers(request, search);
      if (!found) return { answer: refuseRead(request) };
      const { choice, outcome } = await reads.run({ request, toReadCommand, ...found });
      const verdict = await judge(request, choice, outcome);
      if (outcome.type === 'answered') {
        const { answer, connection } = outcome;
        if (verdict === 'accepted') return { answer, place: { ...choice, answer, connection } };
        giveBack(context, { ...choice, connection, transaction: answer.transaction });
        if (verdict === 'final') return { answer };
      }
      if (verdict === 'full') {
        if (!uses('secondChoice')) return { answer: refuseRead(request) };
        search.full.add(choice.member);
      }
      counters.retries += 1;
    }
  }

  /** Waits until some member can run the read; undefined where none can in its time. */
  async function findMembers(
    request: StatementRequest,
    search: Search,
  ): Promise<Found | undefined> {
    while (timeLeft(request) > 0 && !leaving.isGroupClosed()) {
      const all = choices.choose(request, search.full);
      const [first, second] = all.filter(({ wait }) => wait <= timeLeft(request));
      if (!first && all.length > 0) return undefined;
      if (!first && search.full.size > 0) {
        // One that was full when it was asked may have room by now.
        if (!choices.hasIdle(request)) return undefined;
        search.full.clear();
        continue;
      }
      if (!first && proof.isStalled()) return undefined;
      if (first && isWorthAFloor(request, search, first)) {
        Object.assign(search, { hasWaitedForFloor: true });
        await floors.refresh();
        continue;
      }
      if (first?.wait === 0) return { first, second };
      if (first && !uses('waitingForReplicas')) return undefined;
      await belief.waitForChange(Math.min(RETRY_PAUSE_MILLISECONDS, timeLeft(request)));
    }
    return undefined;
  }

  /**
   * Whether a read that knows no floor would wait at the primary. Learning one takes less time, and
   * the replicas can serve it then.
   */
  function isWorthAFloor(
    request: StatementRequest,
    { hasWaitedForFloor }: Search,
    { member, isPrimary, after }: ReadChoice,
  ): boolean {
    const lacksFloor = mayUseReplicas(request) && after === undefined;
    return lacksFloor && !hasWaitedForFloor && isPrimary && !member.gate.hasRoom();
  }

  function refuseRead(request: StatementRequest): UpstreamAnswer {
    if (timeLeft(request) > 0 && choices.hasIdle(request)) counters.refusedBesideIdle += 1;
    return refuseUnplaced(context, request, 'aborted', 'no member can show the read in time');
  }

  async function judge(
    request: StatementRequest,
    choice: ReadChoice,
    outcome: AttemptOutcome,
  ): Promise<Verdict> {
    if (outcome.type !== 'answered') {
      handleUnanswered(choice, outcome);
      const cause = outcome.type === 'notSent' ? outcome.cause : undefined;
      if (cause === 'leaving') await belief.waitForChange(RETRY_PAUSE_MILLISECONDS);
      return cause && TAKES_NONE.has(cause) ? 'full' : 'retry';
    }
    const { answer } = outcome;
    if (answer.outcome === 'refused') return judgeRefusal(request, choice, answer);
    if (!answer.position) return 'retry';
    const { term } = answer.position;
    // A member that was the primary of that term, and is not believed to be it any more, proves no
    // more than the primary would: the position that it was asked for came from itself.
    const isOwnWord = choice.isPrimary || belief.isProved(choice.member.entry.memberId, term);
    if (!isOwnWord) return term === choice.after?.term ? 'accepted' : 'retry';
    const isCurrent = await proof.proveCurrent({
      member: choice.member,
      term,
      arrived: request.arrived,
      maximumStaleness: request.route.maximumStaleness - STALENESS_MARGIN_MILLISECONDS,
      patience: patienceOf(request.route),
      deadlineAt: request.deadlineAt,
    });
    return isCurrent ? 'accepted' : 'retry';
  }

  function handleUnanswered(choice: ReadChoice, outcome: AttemptOutcome): void {
    const isUnreachable = outcome.type === 'notSent' && outcome.cause === 'unreachable';
    if (choice.isPrimary && (isUnreachable || outcome.type === 'lost')) {
      context.suspectPrimary(isUnreachable ? 'unreachable' : 'silent', choice.member);
    }
    if (outcome.type === 'lost' && outcome.cause === 'broken') {
      avoidMember(choice.member, clock.now());
    }
  }

  function judgeRefusal(
    request: StatementRequest,
    { member, isPrimary }: ReadChoice,
    answer: UpstreamAnswer & { outcome: 'refused' },
  ): Verdict {
    const now = clock.now();
    const handlers: Partial<Record<typeof answer.reason, () => Verdict>> = {
      busy: () => {
        Object.assign(member, { avoidUntil: now + BUSY_PAUSE_MILLISECONDS });
        return 'retry';
      },
      lagging: () => {
        Object.assign(member, { avoidUntil: now + LAGGING_PAUSE_MILLISECONDS });
        if (isPrimary) forgetDiscardedCommit(request, answer);
        return 'retry';
      },
      readOnly: () => {
        belief.denyPrimary(member, answer.position?.term ?? evidence.highestTerm());
        return 'retry';
      },
      unknownStatement: () => 'retry',
    };
    return handlers[answer.reason]?.() ?? 'final';
  }

  /** The primary of a later term will never hold a commit that its promotion discarded. */
  function forgetDiscardedCommit(request: StatementRequest, answer: UpstreamAnswer): void {
    const { session } = request;
    const term = answer.position?.term ?? 0;
    if (!session.lastCommit || session.lastCommit.position.term >= term) return;
    logger.warn('ownCommitDiscarded', { group, requestId: request.id, commit: session.lastCommit });
    session.lastCommit = undefined;
  }

  return { place };
}
