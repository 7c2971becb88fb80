import { createSessionState } from '@wisterialift/pooling';
import type { MemberReport, UpstreamCommand } from '@wisterialift/pooling';
import { createSequencedTime, observeReport } from './groupContext';
import type { GroupContext } from './groupContext';
import type { Member } from './member';

/** Acquires connections ahead of all statements, because many of them may wait for the report. */
const CONTROL_COMMAND_PRIORITY = -1;

/**
 * Sends a member a control command and returns the status report it answers with.
 *
 * @returns undefined if there is no report within `timeoutMilliseconds`; the cause is logged.
 */
export async function sendMemberCommand(
  context: GroupContext,
  member: Member,
  command: Extract<UpstreamCommand, { type: 'status' | 'pause' | 'resume' | 'demote' }>,
  timeoutMilliseconds: number,
): Promise<MemberReport | undefined> {
  const { clock, counters, driver, logger, group } = context;
  const { memberId } = member.entry;
  const deadlineAt = clock.now() + timeoutMilliseconds;
  if (command.type === 'status') counters.probes += 1;
  try {
    const session = createSessionState();
    const pendingConnection = member.pool.acquire({
      session,
      owner: undefined,
      acceptsAnyOwner: true,
      deadlineAt,
      priority: CONTROL_COMMAND_PRIORITY,
    });
    const connection = await pendingConnection;
    const sentStamp = createSequencedTime(context);
    const cancelTimeout = clock.runAfter(deadlineAt - clock.now(), () => {
      member.pool.discard(connection);
    });
    const answer = await connection.upstream.run(command).finally(cancelTimeout);
    member.pool.release(connection);
    const report = driver.readReport(answer);
    if (!report || !answer.position) {
      logger.warn('questionNotAnswered', { group, memberId, command: command.type, answer });
      return undefined;
    }
    Object.assign(member, { answeredAt: clock.now(), failures: 0 });
    observeReport(context, member, sentStamp, { report, applied: answer.position });
    return report;
  } catch (error) {
    logger.warn('questionFailed', {
      group,
      memberId,
      command: command.type,
      error: error as Error,
    });
    return undefined;
  }
}
