import { determineCommitOutcome } from '@wisterialift/pooling';
import type { CommitOutcome, SettlementResult, TermStart } from '@wisterialift/pooling';
import type { Position } from '@wisterialift/schema';
import { resolveWithTimeout } from '../timing/promiseTimeout';
import { shareRunning } from '../timing/shareRunning';
import type { EvidencePoller } from './evidencePoller';
import type { GroupContext } from './groupContext';
import { createHolderOptions } from './holderOptions';
import type { HolderRegistrar } from './holderOptions';
import type { ProbePrimary } from './primaryProbe';
import { planPolls } from './primaryVerifier';
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
  registrar: HolderRegistrar;
  /** Reads the start of the newest recorded term; undefined if there is none or on a store error. */
  readTermStart: () => Promise<TermStart | undefined>;
  /** Asks a member for its role, and others whether they follow it. */
  probePrimary: ProbePrimary;
}

/** Pause before the promotion record is read again; each time costs a call to the store. */
const RETRY_DELAY_MILLISECONDS = 250;

export function createSupersededCommits(
  context: GroupContext,
  { poller, registrar, readTermStart, probePrimary }: SupersededCommitsOptions,
): SupersededCommits {
  const { clock, evidence, group, logger, primaryTracker } = context;
  /** Many commits are superseded at the same time. */
  const readTermStartOnce = shareRunning(readTermStart);

  /** Whether the recorded member leads the recorded term; an order may have had another effect. */
  async function isTermLed({ primaryId, term }: TermStart): Promise<boolean> {
    if (!primaryTracker.isConfirmed(primaryId, term)) await probePrimary(primaryId);
    return primaryTracker.isConfirmed(primaryId, term);
  }

  async function waitForSettlement(
    { route }: StatementRequest,
    options: { position: Position; started: TermStart; deadlineAt: number },
  ): Promise<SettlementResult | undefined> {
    const { position, started, deadlineAt } = options;
    const holderOptions = createHolderOptions(context, registrar, started.primaryId);
    const wait = evidence.waitForSettlement({ position, started, ...holderOptions });
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
      started = await readTermStartOnce();
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
