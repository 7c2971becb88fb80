import { orderMembersForRead } from '@wisterialift/pooling';
import type { UpstreamAnswer, UpstreamCommand } from '@wisterialift/pooling';
import { isAtMost, maxPosition } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import { attempt } from './attempt';
import type { AttemptOutcome } from './attempt';
import type { GroupContext } from './groupContext';
import { giveBack } from './giveBack';
import { avoidMember } from './member';
import type { Member } from './member';
import type { PrimaryProof } from './primaryProof';
import { refuse } from './refusals';
import type { StatementRequest } from './statementRequest';
import type { PooledConnection } from './upstreamPool';

/** Where a read ran; the connection belongs to whoever gets this. */
export interface PlacedRead {
  member: Member;
  connection: PooledConnection;
  answer: UpstreamAnswer;
}

export interface ReadPath {
  /** Runs a command on a log that shows what the route promises; a refusal comes without a place. */
  place: (
    request: StatementRequest,
    toReadCommand: (after?: Position) => UpstreamCommand,
  ) => Promise<{ answer: UpstreamAnswer; place?: PlacedRead }>;
}

/** Kept from the stated age for the way of the question and unequal timers. */
const STALENESS_MARGIN_MILLISECONDS = 60;

/** A second member is tried after this many times the expected answer time, and not before the floor. */
const HEDGE_FACTOR = 5;
const HEDGE_FLOOR_MILLISECONDS = 250;

/** Pause before members that all refused are tried again. */
const RETRY_PAUSE_MILLISECONDS = 25;

/** A busy member is left alone about as long as one of its statements takes. */
const BUSY_PAUSE_MILLISECONDS = 30;

/** A replica that was behind is taken for behind until it was seen further, or this long. */
const BEHIND_MEMORY_MILLISECONDS = 400;

interface Choice {
  member: Member;
  isPrimary: boolean;
  after: Position | undefined;
}

type Verdict = 'accepted' | 'retry' | 'final';

export function createReadPath(context: GroupContext, proof: PrimaryProof): ReadPath {
  const { belief, clock, counters, evidence, logger, members, group } = context;
  const behindSince = new Map<Member, number>();

  async function place(
    request: StatementRequest,
    toReadCommand: (after?: Position) => UpstreamCommand,
  ): Promise<{ answer: UpstreamAnswer; place?: PlacedRead }> {
    while (clock.now() < request.deadlineAt) {
      const [first, second] = chooseMembers(request);
      if (!first) {
        await belief.waitForChange(Math.min(RETRY_PAUSE_MILLISECONDS, timeLeft(request)));
        continue;
      }
      const { choice, outcome } = await runHedged(request, toReadCommand, first, second);
      const verdict = await judge(request, choice, outcome);
      if (outcome.type === 'answered') {
        const { answer, connection } = outcome;
        if (verdict === 'accepted') return { answer, place: { ...choice, answer, connection } };
        giveBack(context, { ...choice, connection, transaction: answer.transaction });
        if (verdict === 'final') return { answer };
      }
      counters.retries += 1;
    }
    return { answer: refuse(context, request, 'aborted', 'no member could show the read in time') };
  }

  const timeLeft = (request: StatementRequest) => request.deadlineAt - clock.now();

  /** The best two members for a read; the second is the one to fall back on. */
  function chooseMembers(request: StatementRequest): Choice[] {
    const now = clock.now();
    const primary = belief.find();
    const { consistency } = request.route;
    const after = requiredPosition(request);
    const needsPrimary = consistency === 'primary' || after === undefined;
    const choices = [...members.values()]
      .filter((member) => !needsPrimary || member === primary)
      .filter((member) => member.avoidUntil <= now && !isLeavingReplica(member, primary))
      .map((member) => ({
        memberId: member.entry.memberId,
        member,
        isPrimary: member === primary,
        after: consistency === 'primary' ? undefined : after,
        latency: member.latency.current(now),
        running: member.pool.load(),
        isBehind: member !== primary && isBehind(member, after, now),
      }));
    return orderMembersForRead(choices).slice(0, 2);
  }

  function isLeavingReplica(member: Member, primary: Member | undefined): boolean {
    if (member.missingSince !== undefined) return true;
    return member.entry.isLeaving && member !== primary;
  }

  /** Log that the read must see, or undefined where only the primary can tell. */
  function requiredPosition({ route, session }: StatementRequest): Position | undefined {
    if (route.consistency === 'primary') return undefined;
    const maximumAge = route.maximumStaleness - STALENESS_MARGIN_MILLISECONDS;
    const floor = evidence.findFloor({ now: clock.now(), maximumAge });
    if (!floor) return undefined;
    const own = route.consistency === 'readYourWrites' ? session.lastCommit : undefined;
    return own ? maxPosition(floor, own) : floor;
  }

  function isBehind(member: Member, after: Position | undefined, now: number): boolean {
    if (!after) return false;
    const since = behindSince.get(member);
    if (since === undefined || now - since > BEHIND_MEMORY_MILLISECONDS) return false;
    return !member.applied || !isAtMost(after, member.applied);
  }

  async function runHedged(
    request: StatementRequest,
    toReadCommand: (after?: Position) => UpstreamCommand,
    first: Choice,
    second: Choice | undefined,
  ): Promise<{ choice: Choice; outcome: AttemptOutcome }> {
    const firstRun = runAt(request, toReadCommand, first);
    if (!second) return firstRun;
    const patience = hedgeAfter(first.member);
    const early = await within(firstRun, Math.min(patience, timeLeft(request)));
    if (early) return early;
    // The answer was lost, or the member is slow; reads may run twice. The first run is not broken
    // off, since its answer may still come sooner.
    logger.info('readHedged', {
      group,
      requestId: request.id,
      memberId: first.member.entry.memberId,
      secondMemberId: second.member.entry.memberId,
      waitedMilliseconds: Math.round(patience),
    });
    counters.retries += 1;
    return firstAnswered(context, [firstRun, runAt(request, toReadCommand, second)]);
  }

  function hedgeAfter(member: Member): number {
    return Math.max(HEDGE_FLOOR_MILLISECONDS, HEDGE_FACTOR * member.latency.current(clock.now()));
  }

  async function runAt(
    request: StatementRequest,
    toReadCommand: (after?: Position) => UpstreamCommand,
    choice: Choice,
  ): Promise<{ choice: Choice; outcome: AttemptOutcome }> {
    const startedAt = clock.now();
    const command = toReadCommand(choice.after);
    const { deadlineAt } = request;
    const outcome = await attempt(context, choice.member, { request, command, deadlineAt });
    const isServed = outcome.type === 'answered' && outcome.answer.outcome === 'completed';
    if (isServed || outcome.type === 'lost') {
      choice.member.latency.record(clock.now() - startedAt, clock.now());
    }
    return { choice, outcome };
  }

  async function judge(
    request: StatementRequest,
    choice: Choice,
    outcome: AttemptOutcome,
  ): Promise<Verdict> {
    if (outcome.type !== 'answered') {
      handleUnanswered(choice, outcome);
      return 'retry';
    }
    const { answer } = outcome;
    if (answer.outcome === 'refused') return judgeRefusal(request, choice, answer);
    if (!answer.position) return 'retry';
    const { term } = answer.position;
    if (!choice.isPrimary) return term === choice.after?.term ? 'accepted' : 'retry';
    const isCurrent = await proof.proveCurrent({
      member: choice.member,
      term,
      arrived: request.arrived,
      maximumStaleness: request.route.maximumStaleness - STALENESS_MARGIN_MILLISECONDS,
      deadlineAt: request.deadlineAt,
    });
    return isCurrent ? 'accepted' : 'retry';
  }

  function handleUnanswered(choice: Choice, outcome: AttemptOutcome): void {
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
    { member, isPrimary }: Choice,
    answer: UpstreamAnswer & { outcome: 'refused' },
  ): Verdict {
    const now = clock.now();
    const handlers: Partial<Record<typeof answer.reason, () => Verdict>> = {
      busy: () => {
        Object.assign(member, { avoidUntil: now + BUSY_PAUSE_MILLISECONDS });
        return 'retry';
      },
      lagging: () => {
        behindSince.set(member, now);
        if (isPrimary) forgetDiscardedCommit(request, answer);
        return 'retry';
      },
      readOnly: () => {
        belief.denyPrimary(member);
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
    if (!session.lastCommit || session.lastCommit.term >= term) return;
    logger.warn('ownCommitDiscarded', { group, requestId: request.id, commit: session.lastCommit });
    session.lastCommit = undefined;
  }

  return { place };
}

function within<Value>(promise: Promise<Value>, milliseconds: number): Promise<Value | undefined> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(resolve, Math.max(0, milliseconds), undefined);
    promise.then((value) => {
      clearTimeout(timer);
      resolve(value);
    }, reject);
  });
}

/** The first run with an answer; the connections of the others go back to their pools. */
function firstAnswered(
  context: GroupContext,
  runs: Promise<{ choice: Choice; outcome: AttemptOutcome }>[],
): Promise<{ choice: Choice; outcome: AttemptOutcome }> {
  return new Promise((resolve, reject) => {
    let pending = runs.length;
    let isResolved = false;
    for (const run of runs) {
      run.then((result) => {
        pending -= 1;
        const { choice, outcome } = result;
        const isCompleted = outcome.type === 'answered' && outcome.answer.outcome === 'completed';
        if (!isResolved && (isCompleted || pending === 0)) {
          isResolved = true;
          resolve(result);
        } else if (outcome.type === 'answered') {
          const { transaction } = outcome.answer;
          giveBack(context, { ...choice, connection: outcome.connection, transaction });
        }
      }, reject);
    }
  });
}
