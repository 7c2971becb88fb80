import { determineCommitOutcome } from '@wisterialift/pooling';
import type { CommitOutcome, SettlementResult, TermStart } from '@wisterialift/pooling';
import type { Position } from '@wisterialift/schema';
import { resolveWithTimeout } from '../timing/promiseTimeout';
import type { EvidencePoller } from './evidencePoller';
import type { GroupContext } from './groupContext';
import type { Member } from './member';
import type { MemberRegistrar } from './memberRegistrar';
import { planPolls } from './primaryVerifier';
import { sendMemberCommand } from './sendMemberCommand';
import type { StatementRequest } from './statementRequest';

/** `unknown` at the deadline, or if the recorded promotions cannot tell the outcome. */
export type SettledOutcome = CommitOutcome | 'unknown';

/** Finds out what becomes of commits whose primary was replaced before they were seen to be replicated. */
export interface SupersededCommits {
  /** Waits until the outcome is settled; see `waitForSettlement`. */
  settle: (
    request: StatementRequest,
    options: { position: Position; deadlineAt: number },
  ) => Promise<SettledOutcome>;
}

export interface SupersededCommitsOptions {
  poller: EvidencePoller;
  registrar: Pick<MemberRegistrar, 'isHeldByAll' | 'isRegistered'>;
  /** Reads the start of the newest recorded term; undefined if there is none or on a store error. */
  readTermStart: () => Promise<TermStart | undefined>;
}

/** Pause before the promotion record is read again; each time costs a call to the store. */
const RETRY_DELAY_MILLISECONDS = 250;

const ROLE_QUERY_TIMEOUT_MILLISECONDS = 400;

export function createSupersededCommits(
  context: GroupContext,
  { poller, registrar, readTermStart }: SupersededCommitsOptions,
): SupersededCommits {
  const { clock, evidence, group, logger, members, primaryTracker } = context;
  let reading: Promise<TermStart | undefined> | undefined;
  let queryingRole: Promise<unknown> | undefined;

  /** Reads once for all commits that were superseded at the same time. */
  function readSharedTermStart(): Promise<TermStart | undefined> {
    reading ??= readTermStart().finally(() => {
      reading = undefined;
    });
    return reading;
  }

  const queryRole = (member: Member) =>
    sendMemberCommand(context, member, { type: 'status' }, ROLE_QUERY_TIMEOUT_MILLISECONDS);

  /** Whether the recorded member leads the recorded term; an order may have had another effect. */
  async function isTermLed({ primaryId, term }: TermStart): Promise<boolean> {
    const primary = members.get(primaryId);
    if (!primary) return false;
    if (!primaryTracker.isConfirmed(primaryId, term)) {
      queryingRole ??= queryRole(primary).finally(() => {
        queryingRole = undefined;
      });
      await queryingRole;
    }
    return primaryTracker.isConfirmed(primaryId, term);
  }

  async function waitForSettlement(
    { route }: StatementRequest,
    options: { position: Position; started: TermStart; deadlineAt: number },
  ): Promise<SettlementResult | undefined> {
    const { position, started, deadlineAt } = options;
    const { primaryId } = started;
    const wait = evidence.waitForSettlement({
      position,
      started,
      primaryId,
      memberIds: () => [...members.keys()],
      isRegistered: registrar.isRegistered,
      isHeldByAll: (holderIds) => registrar.isHeldByAll([primaryId, ...holderIds]),
    });
    const stopPolling = poller.startPolling({ ...planPolls(context, route), firstDelay: 0 });
    const result = await resolveWithTimeout(clock, wait.result, deadlineAt - clock.now());
    stopPolling();
    wait.cancel();
    return result;
  }

  async function findOutcome(
    request: StatementRequest,
    options: { position: Position; deadlineAt: number },
  ): Promise<{ started?: TermStart; outcome: SettledOutcome }> {
    const { position, deadlineAt } = options;
    let started: TermStart | undefined;
    while (clock.now() < deadlineAt) {
      started = await readSharedTermStart();
      const isLaterTerm = started !== undefined && started.term > position.term;
      if (started && isLaterTerm && !determineCommitOutcome(position, started)) break;
      if (started && isLaterTerm && (await isTermLed(started))) {
        const result = await waitForSettlement(request, { position, started, deadlineAt });
        if (result && result.type !== 'superseded') return { started, outcome: result.type };
      }
      await clock.sleep(Math.min(RETRY_DELAY_MILLISECONDS, deadlineAt - clock.now()));
    }
    return { started, outcome: 'unknown' };
  }

  return {
    settle: async (request, options) => {
      const supersededAt = clock.now();
      const { started, outcome } = await findOutcome(request, options);
      logger.info('heldWriteSettled', {
        group,
        requestId: request.id,
        position: options.position,
        termStart: started,
        fate: outcome,
        waitedMilliseconds: Math.round(clock.now() - supersededAt),
      });
      return outcome;
    },
  };
}
