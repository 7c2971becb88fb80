import type { FailureReason, UpstreamAnswer } from '@wisterialift/pooling';
import { attemptCommand } from './attemptCommand';
import type { AttemptOutcome } from './attemptCommand';
import type { GroupContext } from './groupContext';
import { releaseConnection } from './releaseConnection';
import type { Member } from './member';
import { planPolls } from './primaryVerifier';
import type { PrimaryVerifier } from './primaryVerifier';
import { refuseStatement, refuseUnroutable } from './refusals';
import type { SoleMemberGuard } from './soleMemberGuard';
import type { SupersededCommits } from './supersededCommits';
import { toCommand } from './statementRequest';
import type { StatementRequest } from './statementRequest';

export interface WriteRouter {
  /** Runs one write outside a transaction. */
  write: (request: StatementRequest) => Promise<UpstreamAnswer>;
  /**
   * Retries a command at the primary until it may have run, the deadline passes or no primary can
   * take it.
   *
   * @param options.isWrite - whether the command commits a write, so that its completed answer shows
   *   a log end in the term that the member leads. The log of a member that begins a transaction may
   *   end in an earlier term.
   * @returns undefined if the command certainly did not run.
   */
  runOnPrimary: (
    request: StatementRequest,
    options: {
      isWrite: boolean;
      run: (member: Member) => Promise<AttemptOutcome>;
    },
  ) => Promise<{ member: Member; outcome: AttemptOutcome } | undefined>;
  /** Holds a commit's answer until the commit is replicated or its outcome is otherwise known. */
  confirmCommit: (
    request: StatementRequest,
    member: Member,
    answer: UpstreamAnswer,
  ) => Promise<UpstreamAnswer>;
}

/** Pause before a command is tried again or the primary is looked up again. */
const RETRY_DELAY_MILLISECONDS = 20;

/**
 * Minimum time after a write's arrival for which the confirmation of its commit is awaited, even
 * beyond the request's deadline. Covers a change of primary, after which the outcome is known; before
 * it, the caller could only be told that the outcome is unknown and would have to give up.
 */
export const COMMIT_CONFIRMATION_TIMEOUT_MILLISECONDS = 3_500;

const NOT_RUN_REASONS: ReadonlySet<FailureReason> = new Set([
  'busy',
  'readOnly',
  'lagging',
  'unknownStatement',
]);

export function createWriteRouter(
  context: GroupContext,
  options: {
    primaryVerifier: PrimaryVerifier;
    soleMemberGuard: SoleMemberGuard;
    supersededCommits: SupersededCommits;
  },
): WriteRouter {
  const { primaryTracker, clock, counters, leavingPolicy } = context;
  const { primaryVerifier, soleMemberGuard, supersededCommits } = options;

  async function write(request: StatementRequest): Promise<UpstreamAnswer> {
    const command = toCommand(request);
    const { deadlineAt } = request;
    const result = await runOnPrimary(request, {
      isWrite: true,
      run: (member) => attemptCommand(context, member, { request, command, deadlineAt }),
    });
    if (!result) {
      const detail = soleMemberGuard.describeRefusal() ?? 'no primary can take the write';
      return refuseUnroutable(context, request, 'busy', detail);
    }
    const { member, outcome } = result;
    if (outcome.type !== 'answered') {
      return refuseStatement(
        context,
        request,
        'unknownOutcome',
        'the primary did not answer the write',
      );
    }
    const { answer, connection } = outcome;
    releaseConnection(context, { member, connection, transaction: answer.transaction });
    return confirmCommit(request, member, answer);
  }

  const canStillRun = ({ deadlineAt }: StatementRequest) =>
    clock.now() < deadlineAt && !primaryVerifier.isStalled() && !leavingPolicy.isGroupClosed();

  async function runOnPrimary(
    request: StatementRequest,
    { isWrite, run }: Parameters<WriteRouter['runOnPrimary']>[1],
  ): Promise<{ member: Member; outcome: AttemptOutcome } | undefined> {
    while (canStillRun(request)) {
      const member = primaryTracker.find();
      if (!member || member.avoidUntil > clock.now() || !leavingPolicy.canAccept(member)) {
        if (!member) context.suspectPrimary('absent', undefined);
        await primaryTracker.waitForChange(
          Math.min(RETRY_DELAY_MILLISECONDS, request.deadlineAt - clock.now()),
        );
        continue;
      }
      const outcome = await run(member);
      if (!isSafeToRetry(outcome)) {
        if (outcome.type === 'lost') context.suspectPrimary('silent', member);
        if (isWrite) recordConfirmation(member, outcome);
        return { member, outcome };
      }
      if (outcome.type === 'notSent' && outcome.cause === 'noCapacity') return undefined;
      await handleNotRun(member, outcome);
      counters.retries += 1;
    }
    return undefined;
  }

  function recordConfirmation(member: Member, outcome: AttemptOutcome): void {
    if (outcome.type !== 'answered' || outcome.answer.outcome !== 'completed') return;
    const { position } = outcome.answer;
    if (position) primaryTracker.confirmPrimary(member.entry.memberId, position.term);
  }

  async function handleNotRun(member: Member, outcome: AttemptOutcome): Promise<void> {
    if (outcome.type === 'notSent' && outcome.cause === 'unreachable') {
      context.suspectPrimary('unreachable', member);
    }
    if (outcome.type === 'answered') {
      const { transaction } = outcome.answer;
      releaseConnection(context, { member, connection: outcome.connection, transaction });
      const isReplica =
        outcome.answer.outcome === 'refused' && outcome.answer.reason === 'readOnly';
      if (isReplica) primaryTracker.rejectPrimary(member, outcome.answer.position?.term ?? 0);
    }
    await primaryTracker.waitForChange(RETRY_DELAY_MILLISECONDS);
  }

  async function confirmCommit(
    request: StatementRequest,
    member: Member,
    answer: UpstreamAnswer,
  ): Promise<UpstreamAnswer> {
    if (answer.outcome === 'refused') return answer;
    if (!answer.position) {
      return refuseStatement(context, request, 'unknownOutcome', 'the primary told no position');
    }
    const { position } = answer;
    const polls = planPolls(context, request.route);
    const deadlineAt = Math.max(
      request.deadlineAt,
      request.arrivalStamp.at + COMMIT_CONFIRMATION_TIMEOUT_MILLISECONDS,
    );
    const replication = await primaryVerifier.waitForReplication({
      member,
      position,
      requestedAt: request.arrivalStamp.at,
      polls,
      deadlineAt,
    });
    const outcome =
      replication === 'superseded'
        ? await supersededCommits.settle(request, { position, deadlineAt })
        : replication;
    if (outcome === 'replicated' || outcome === 'kept') {
      request.session.lastCommit = { position, seenAt: clock.now() };
      return answer;
    }
    if (outcome === 'discarded') {
      return refuseStatement(
        context,
        request,
        'aborted',
        'the primary was replaced before the write was copied',
      );
    }
    const detail = soleMemberGuard.hasOtherMembers(member)
      ? 'no replica was seen to hold the write in time'
      : 'the only listed member could not be relied on alone in time';
    return refuseStatement(context, request, 'unknownOutcome', detail);
  }

  return { write, runOnPrimary, confirmCommit };
}

/** Whether the statement certainly did not run and can be retried. */
function isSafeToRetry(outcome: AttemptOutcome): boolean {
  if (outcome.type === 'notSent') return true;
  if (outcome.type === 'lost' || outcome.answer.outcome === 'completed') return false;
  return NOT_RUN_REASONS.has(outcome.answer.reason);
}
