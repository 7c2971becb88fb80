import type { FailureReason, UpstreamAnswer } from '@wisterialift/pooling';
import type { RelayAnswer } from '@wisterialift/peer/relay';
import type { Logger } from '@wisterialift/telemetry';
import type { ActiveConfiguration } from '../configuration/activeConfiguration';
import type {
  StatementRunner,
  OpenTransactionOptions,
  Transaction,
} from '../groups/statementRunner';
import type { GroupRouter } from '../groups/groupRouter';
import { refuseStatement, refuseTemporarily } from '../groups/refusals';
import { isWrite } from '../groups/statementRequest';
import type { StatementRequest } from '../groups/statementRequest';
import { COMMIT_CONFIRMATION_TIMEOUT_MILLISECONDS } from '../groups/writeRouter';
import type { Clock } from '../ports/clock';
import { appendReturnTime } from '../groups/returnTime';
import type { StatementNeeds } from '../groups/reachMonitor';
import type { ConfigurationSynchronizer } from './configurationSynchronizer';
import type { HolderRefusals } from './holderRefusals';
import type { HolderSelector } from './holderSelector';
import type { PeerLink } from './peerLink';
import { decodeAnswer, decodeCommit, encodeStatement } from './relayMessages';
import type { RelayAction, RelayedTransaction } from './relayMessages';
import type { PrimaryRoute } from './primaryRoute';

export interface RelayedGroupOptions {
  group: string;
  /** Runs statements over this instance's own connections if no holder is selected. */
  local: GroupRouter;
  holders: HolderSelector;
  /** Path of statements that only the primary can run; undefined if they take the usual path. */
  primaryRoute?: PrimaryRoute;
  configuration: ActiveConfiguration;
  synchronizer: ConfigurationSynchronizer;
  /** Resolves once the directory and the configuration are fresh, or after a timeout. */
  waitForFreshState: () => Promise<void>;
  clock: Clock;
  /** Returns a uniform number in [0, 1). */
  random: () => number;
  logger: Logger;
  /** What holders stated with their refusals; only with the control `retryGuidance`. */
  holderRefusals?: HolderRefusals;
  /** Name of this instance, for log lines. */
  instance?: string;
}

/** Wait for an answer beyond the statement's deadline, which the holder enforces itself. */
const ANSWER_MARGIN_MILLISECONDS = 500;

const OUT_OF_REACH_DETAIL = 'no holder of the connections reaches the members';

/** Details of refusals on behalf of a holder. */
const NO_HOLDER_CAPACITY_DETAILS = {
  read: 'the holder of the connections has no capacity for the read',
  write: 'the holder of the connections has no capacity for the write',
};

type SendOutcome =
  | { type: 'answered'; answer: UpstreamAnswer }
  /** The statement did not run because the holder has a different configuration version. */
  | { type: 'otherVersion'; version: number }
  /** The statement did not run because the holder does not reach the members; another one may. */
  | { type: 'outOfReach' }
  | { type: 'notSent' | 'lost' };

/** Holders that one statement was sent to. */
interface RelayAttempts {
  /** Links to holders that do not reach the members. */
  refusing: Set<PeerLink>;
  /** Last link to a holder in the primary's data centre that the statement was sent to. */
  primaryLink?: PeerLink;
}

/** Creates a statement runner that relays them to the instances holding its connections. */
export function createRelayedGroup(options: RelayedGroupOptions): StatementRunner {
  const { group, local, holders, configuration, synchronizer, waitForFreshState } = options;
  const { clock, holderRefusals, instance, logger, primaryRoute, random } = options;

  const refusalContext = { group, clock, counters: local.counters, logger, random };

  async function send(
    link: PeerLink,
    request: StatementRequest,
    sent: { action: RelayAction; transaction?: RelayedTransaction },
  ): Promise<SendOutcome> {
    local.counters.relayed += 1;
    const statement = encodeStatement(request, { ...sent, now: clock.now() });
    const limit = Math.max(
      request.deadlineAt,
      request.arrivalStamp.at + COMMIT_CONFIRMATION_TIMEOUT_MILLISECONDS,
    );
    const outcome = await link.request({ statement }, limit + ANSWER_MARGIN_MILLISECONDS);
    if (outcome.type !== 'answered') {
      logger.warn('relayFailed', { group, requestId: request.id, ...sent, outcome: outcome.type });
      return outcome;
    }
    const { answer, isOutOfReach, load, version } = outcome.response;
    // A holder that is cut off from the others refuses, and may not know of a new primary.
    if (answer?.isCompleted) primaryRoute?.learn(load);
    if (isOutOfReach) {
      primaryRoute?.avoid(link);
      return { type: 'outOfReach' };
    }
    if (!answer) return { type: 'otherVersion', version };
    const { action } = sent;
    if (action === 'read' || action === 'write') {
      holderRefusals?.remember(link, request, { access: action, response: outcome.response });
    }
    return { type: 'answered', answer: applyAnswer(request, answer) };
  }

  function applyAnswer(request: StatementRequest, sent: RelayAnswer): UpstreamAnswer {
    const answer = decodeAnswer(sent);
    request.session.lastCommit = decodeCommit(sent.lastCommit, clock.now());
    if (answer.outcome === 'refused') {
      logger.info('relayRefused', { group, requestId: request.id, reason: answer.reason });
    }
    return answer;
  }

  /**
   * Sends a statement, synchronizing configurations until both sides have the same version.
   *
   * @returns a refusal if the database is no longer routed to this group.
   */
  async function sendWithMatchingVersion(
    link: PeerLink,
    request: StatementRequest,
    sent: { action: RelayAction; transaction?: RelayedTransaction },
  ): Promise<Exclude<SendOutcome, { type: 'otherVersion' }>> {
    for (;;) {
      const outcome = await send(link, request, sent);
      if (outcome.type !== 'otherVersion') return outcome;
      if (clock.now() >= request.deadlineAt) return { type: 'notSent' };
      await synchronizer.synchronize(link, outcome.version);
      const refusal = applyCurrentRoute(request);
      if (refusal) return { type: 'answered', answer: refusal };
    }
  }

  /**
   * @returns a refusal if the database is no longer routed to this group, or the caller's key no longer
   *   belongs to its team.
   */
  function applyCurrentRoute(request: StatementRequest): UpstreamAnswer | undefined {
    const { keyDigest, route } = request;
    const { database } = route;
    const access = configuration.findAccess({ database, keyDigest });
    if (!access) return refuseTemporarily(refusalContext, request, 'busy', 'no configuration');
    if (access.type === 'refused') return refuse(request, access.reason, access.detail);
    if (access.team?.name !== request.team) {
      return refuse(request, 'unauthenticated', 'the key belongs to another team now');
    }
    if (access.route.group !== group) {
      return refuseTemporarily(refusalContext, request, 'busy', `${database} has just moved`);
    }
    Object.assign(request, { route: access.route, configurationVersion: access.version });
    return undefined;
  }

  function refuse(
    request: StatementRequest,
    reason: FailureReason,
    detail: string,
  ): UpstreamAnswer {
    return refuseStatement(refusalContext, request, reason, detail);
  }

  /**
   * Selects the holder for a statement.
   *
   * @returns undefined to run it over this instance's own connections.
   */
  function selectLink(needs: StatementNeeds, attempts: RelayAttempts): PeerLink | undefined {
    const { refusing } = attempts;
    const primaryLink = refusing.size === 0 ? primaryRoute?.selectLink(needs) : undefined;
    if (primaryLink) {
      Object.assign(attempts, { primaryLink });
      return primaryLink;
    }
    const isLocalRefusing = local.isOutOfReach(needs);
    const isNearUntried = [...refusing].every((link) => link === attempts.primaryLink);
    const link = isNearUntried ? holders.selectLink(group) : undefined;
    if (link && !refusing.has(link)) return link;
    if (!link && isNearUntried && !isLocalRefusing) return undefined;
    return holders.selectOtherLink(group, refusing);
  }

  /** A holder may miss a change of the primary while other holders serve its callers. */
  const mayMissTerm = (needs: StatementNeeds) =>
    holders.isHolder(group) && local.isOutOfReach(needs);

  /** @returns a refusal if a newer configuration, known once the state is fresh, routes elsewhere. */
  async function prepareLocalRun(request: StatementRequest): Promise<UpstreamAnswer | undefined> {
    await waitForFreshState();
    const isUnchanged = configuration.getVersion() === request.configurationVersion;
    return isUnchanged ? undefined : applyCurrentRoute(request);
  }

  /** An instance that holds no connections would open some for each group that holders do not reach. */
  async function runLocally(
    request: StatementRequest,
    refusing: ReadonlySet<PeerLink>,
    run: () => Promise<UpstreamAnswer>,
  ): Promise<UpstreamAnswer> {
    if (refusing.size > 0 && !holders.isHolder(group)) {
      return refuseTemporarily(refusalContext, request, 'busy', OUT_OF_REACH_DETAIL);
    }
    return (await prepareLocalRun(request)) ?? run();
  }

  /**
   * Refuses a statement that its holder would refuse. Must only be called before the statement is sent
   * for the first time, so that the refusal as not run is true.
   */
  function refuseForHolder(
    link: PeerLink,
    request: StatementRequest,
    access: 'read' | 'write',
  ): UpstreamAnswer | undefined {
    const found = holderRefusals?.find(link, request, access);
    if (!found) return undefined;
    const { loadAge, isTeamOnly, expectedWait, returnMilliseconds } = found;
    local.counters.refusedAtFirstInstance += 1;
    const reason = access === 'read' ? 'aborted' : 'busy';
    const detail = appendReturnTime(NO_HOLDER_CAPACITY_DETAILS[access], returnMilliseconds);
    return refuseStatement(refusalContext, request, reason, detail, {
      decidedBy: instance,
      loadAgeMilliseconds: Math.round(loadAge),
      isRefusingTeamOnly: isTeamOnly,
      expectedWaitMilliseconds: Math.round(expectedWait),
      returnMilliseconds,
    });
  }

  /** Retries a read until its deadline if the answer is lost. */
  async function read(request: StatementRequest): Promise<UpstreamAnswer> {
    if (mayMissTerm({ request })) await local.discover({ request });
    const refusing = new Set<PeerLink>();
    const attempts = { refusing };
    let isSent = false;
    while (clock.now() < request.deadlineAt) {
      const link = selectLink({ request }, attempts);
      if (!link) return runLocally(request, refusing, () => local.read(request));
      const refusal = isSent ? undefined : refuseForHolder(link, request, 'read');
      if (refusal) return refusal;
      isSent = true;
      const outcome = await sendWithMatchingVersion(link, request, { action: 'read' });
      if (outcome.type === 'answered') return outcome.answer;
      if (outcome.type === 'outOfReach') refusing.add(link);
    }
    return refuseTemporarily(refusalContext, request, 'aborted', 'no instance could run the read');
  }

  /** Never resends a write that may have been sent. */
  async function write(request: StatementRequest): Promise<UpstreamAnswer> {
    if (mayMissTerm({ request })) await local.discover({ request });
    const refusing = new Set<PeerLink>();
    const attempts = { refusing };
    let isSent = false;
    while (clock.now() < request.deadlineAt) {
      const link = selectLink({ request }, attempts);
      if (!link) return runLocally(request, refusing, () => local.write(request));
      const refusal = isSent ? undefined : refuseForHolder(link, request, 'write');
      if (refusal) return refusal;
      isSent = true;
      const outcome = await sendWithMatchingVersion(link, request, { action: 'write' });
      if (outcome.type === 'answered') return outcome.answer;
      if (outcome.type === 'outOfReach') refusing.add(link);
      if (outcome.type === 'lost') {
        return refuse(request, 'unknownOutcome', 'the instance that ran the write was lost');
      }
    }
    return refuseTemporarily(refusalContext, request, 'busy', 'no instance could run the write');
  }

  async function openTransaction(
    request: StatementRequest,
    opening: OpenTransactionOptions,
  ): ReturnType<StatementRunner['openTransaction']> {
    const needs = { request, beginsReadWriteTransaction: !opening.isReadOnly };
    if (mayMissTerm(needs)) await local.discover(needs);
    const link = selectLink(needs, { refusing: new Set() });
    if (!link) {
      const refusal = await prepareLocalRun(request);
      return refusal ? { refusal } : local.openTransaction(request, opening);
    }
    return { transaction: createRelayedTransaction(link, opening) };
  }

  /** The transaction begins at the holder with its first statement, which saves a round trip. */
  function createRelayedTransaction(
    firstLink: PeerLink,
    { isReadOnly }: { isReadOnly: boolean },
  ): Transaction {
    let link = firstLink;
    let number = link.allocateTransactionNumber();
    let isFirst = true;
    let hasWritten = false;
    let isEnded = false;
    let isRolledBack = false;

    async function sendStatement(
      request: StatementRequest,
      action: RelayAction,
    ): Promise<Exclude<SendOutcome, { type: 'otherVersion' }>> {
      if (isFirst) {
        isFirst = false;
        return begin(request, action);
      }
      const transaction = { number, isFirst: false, isReadOnly };
      return sendWithMatchingVersion(link, request, { action, transaction });
    }

    /** Sends the first statement to the first holder that reaches the members. */
    async function begin(
      request: StatementRequest,
      action: RelayAction,
    ): Promise<Exclude<SendOutcome, { type: 'otherVersion' }>> {
      const refusing = new Set<PeerLink>();
      for (;;) {
        const transaction = { number, isFirst: true, isReadOnly };
        const outcome = await sendWithMatchingVersion(link, request, { action, transaction });
        if (outcome.type !== 'outOfReach') return outcome;
        refusing.add(link);
        const other = holders.selectOtherLink(group, refusing);
        // A roll-back went to the refusing holder; at another one the transaction would stay open.
        if (!other || isRolledBack || clock.now() >= request.deadlineAt) return outcome;
        link = other;
        number = other.allocateTransactionNumber();
      }
    }

    async function run(request: StatementRequest): Promise<UpstreamAnswer> {
      if (isEnded) return refuseAborted(request, 'the transaction has ended');
      if (isWrite(request)) hasWritten = true;
      const outcome = await sendStatement(request, 'run');
      if (outcome.type === 'answered') return outcome.answer;
      if (outcome.type === 'outOfReach') {
        isEnded = true;
        return refuseAborted(request, OUT_OF_REACH_DETAIL);
      }
      // If the stream is lost, the holder rolls back; if the holder is lost, the member does.
      isEnded = true;
      link.rollBack(number);
      return refuseAborted(request, 'the instance that ran the transaction was lost');
    }

    function refuseAborted(request: StatementRequest, detail: string): UpstreamAnswer {
      return { ...refuse(request, 'aborted', detail), transaction: 'failed' };
    }

    async function commit(request: StatementRequest): Promise<UpstreamAnswer> {
      if (isEnded) return refuse(request, 'aborted', 'the transaction has ended');
      isEnded = true;
      const outcome = await sendStatement(request, 'commit');
      if (outcome.type === 'answered') return outcome.answer;
      const isOutcomeKnown = outcome.type !== 'lost' || !hasWritten;
      const detail =
        outcome.type === 'outOfReach'
          ? OUT_OF_REACH_DETAIL
          : 'the instance that ran the commit was lost';
      return refuse(request, isOutcomeKnown ? 'aborted' : 'unknownOutcome', detail);
    }

    return {
      run,
      commit,
      rollBack: () => {
        if (!isEnded && !isFirst) link.rollBack(number);
        isEnded = true;
        isRolledBack = true;
      },
    };
  }

  return { read, write, openTransaction, createArrivalStamp: local.createArrivalStamp };
}
