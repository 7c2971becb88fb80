import { settleWrite } from '@wisterialift/pooling';
import type { FailureReason, TermOrigin, UpstreamAnswer, WriteFate } from '@wisterialift/pooling';
import type { Position } from '@wisterialift/schema';
import { attempt } from './attempt';
import type { AttemptOutcome } from './attempt';
import type { GroupContext } from './groupContext';
import { giveBack } from './giveBack';
import type { Member } from './member';
import { patienceOf } from './primaryProof';
import type { PrimaryProof } from './primaryProof';
import { refuse, refuseUnplaced } from './refusals';
import { toCommand } from './statementRequest';
import type { StatementRequest } from './statementRequest';

export interface WritePath {
  /** Runs one write outside of a transaction. */
  write: (request: StatementRequest) => Promise<UpstreamAnswer>;
  /**
   * Runs attempts at the primary until one was answered with anything but "did not run".
   *
   * @param options.provesPrimary - whether only a primary completes the command. A replica begins a
   *   read-only transaction as well; taken for a primary by that, its log would pass for the newest.
   */
  runAtPrimary: (
    request: StatementRequest,
    options: {
      provesPrimary: boolean;
      run: (member: Member) => Promise<AttemptOutcome>;
    },
  ) => Promise<{ member: Member; outcome: AttemptOutcome } | undefined>;
  /** Holds the answer to a commit until it cannot be lost, or says what became of it. */
  acknowledge: (
    request: StatementRequest,
    member: Member,
    answer: UpstreamAnswer,
  ) => Promise<UpstreamAnswer>;
}

/** Pause after "did not run" before the primary is asked again: about one statement's time. */
const BUSY_PAUSE_MILLISECONDS = 20;

/**
 * Time that a commit's answer is held at the most, unless its route allows more. A change of primary
 * takes about that long, and settles the commit as kept or discarded; before it, the caller could
 * only be told that the outcome is unknown, and would have to give the operation up.
 */
export const HOLD_MILLISECONDS = 3_500;

const NOT_RUN_REASONS: ReadonlySet<FailureReason> = new Set([
  'busy',
  'readOnly',
  'lagging',
  'unknownStatement',
]);

export function createWritePath(
  context: GroupContext,
  options: { proof: PrimaryProof; readTermOrigin: () => Promise<TermOrigin | undefined> },
): WritePath {
  const { belief, clock, counters, group, leaving, logger } = context;
  const { proof, readTermOrigin } = options;

  async function write(request: StatementRequest): Promise<UpstreamAnswer> {
    const command = toCommand(request);
    const { deadlineAt } = request;
    const ran = await runAtPrimary(request, {
      provesPrimary: true,
      run: (member) => attempt(context, member, { request, command, deadlineAt }),
    });
    if (!ran) return refuseUnplaced(context, request, 'busy', 'no primary can take the write');
    const { member, outcome } = ran;
    if (outcome.type !== 'answered') {
      return refuse(context, request, 'unknownOutcome', 'the primary did not answer the write');
    }
    const { answer, connection } = outcome;
    giveBack(context, { member, connection, transaction: answer.transaction });
    return acknowledge(request, member, answer);
  }

  const mayStillRun = ({ deadlineAt }: StatementRequest) =>
    clock.now() < deadlineAt && !proof.isStalled() && !leaving.isGroupClosed();

  async function runAtPrimary(
    request: StatementRequest,
    { provesPrimary, run }: Parameters<WritePath['runAtPrimary']>[1],
  ): Promise<{ member: Member; outcome: AttemptOutcome } | undefined> {
    while (mayStillRun(request)) {
      const member = belief.find();
      if (!member || member.avoidUntil > clock.now() || !leaving.mayTake(member)) {
        if (!member) context.suspectPrimary('absent', undefined);
        await belief.waitForChange(
          Math.min(BUSY_PAUSE_MILLISECONDS, request.deadlineAt - clock.now()),
        );
        continue;
      }
      const outcome = await run(member);
      if (!isNotRun(outcome)) {
        if (outcome.type === 'lost') context.suspectPrimary('silent', member);
        if (provesPrimary) noteProof(member, outcome);
        return { member, outcome };
      }
      if (outcome.type === 'notSent' && outcome.cause === 'noCapacity') return undefined;
      await handleNotRun(member, outcome);
      counters.retries += 1;
    }
    return undefined;
  }

  function noteProof(member: Member, outcome: AttemptOutcome): void {
    if (outcome.type !== 'answered' || outcome.answer.outcome !== 'completed') return;
    const { position } = outcome.answer;
    if (position) belief.provePrimary(member.entry.memberId, position.term);
  }

  async function handleNotRun(member: Member, outcome: AttemptOutcome): Promise<void> {
    if (outcome.type === 'notSent' && outcome.cause === 'unreachable') {
      context.suspectPrimary('unreachable', member);
    }
    if (outcome.type === 'answered') {
      const { transaction } = outcome.answer;
      giveBack(context, { member, connection: outcome.connection, transaction });
      const isReplica =
        outcome.answer.outcome === 'refused' && outcome.answer.reason === 'readOnly';
      if (isReplica) belief.denyPrimary(member, outcome.answer.position?.term ?? 0);
    }
    await belief.waitForChange(BUSY_PAUSE_MILLISECONDS);
  }

  async function acknowledge(
    request: StatementRequest,
    member: Member,
    answer: UpstreamAnswer,
  ): Promise<UpstreamAnswer> {
    if (answer.outcome === 'refused') return answer;
    if (!answer.position) {
      return refuse(context, request, 'unknownOutcome', 'the primary told no position');
    }
    const { position } = answer;
    const patience = patienceOf(request.route);
    const deadlineAt = Math.max(request.deadlineAt, request.arrived.at + HOLD_MILLISECONDS);
    const copied = await proof.proveCopied({ member, position, patience, deadlineAt });
    const fate = copied === 'superseded' ? await settle(request, position) : copied;
    if (fate === 'copied' || fate === 'kept') {
      request.session.lastCommit = { position, seenAt: clock.now() };
      return answer;
    }
    if (fate === 'discarded') {
      return refuse(
        context,
        request,
        'aborted',
        'the primary was replaced before the write was copied',
      );
    }
    return refuse(
      context,
      request,
      'unknownOutcome',
      'no replica was seen to hold the write in time',
    );
  }

  async function settle(request: StatementRequest, position: Position): Promise<WriteFate> {
    const termOrigin = await readTermOrigin();
    const fate = settleWrite(position, termOrigin);
    logger.info('heldWriteSettled', { group, requestId: request.id, position, termOrigin, fate });
    return fate;
  }

  return { write, runAtPrimary, acknowledge };
}

/** Whether it is certain that the statement did not run, so that it may be sent again. */
function isNotRun(outcome: AttemptOutcome): boolean {
  if (outcome.type === 'notSent') return true;
  if (outcome.type === 'lost' || outcome.answer.outcome === 'completed') return false;
  return NOT_RUN_REASONS.has(outcome.answer.reason);
}
