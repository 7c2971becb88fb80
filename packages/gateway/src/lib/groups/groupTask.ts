import { CLAIM_TAKEOVER_MILLISECONDS, createGroupEvidence } from '@wisterialift/pooling';
import type { TermOrigin, UpstreamAnswer } from '@wisterialift/pooling';
import type { Logger } from '@wisterialift/telemetry';
import type { GroupLimits } from '../configuration/gatewayConfiguration';
import type { Clock } from '../ports/clock';
import type { UsesMechanism } from '../mechanisms';
import { isSameLife } from '../directory/directoryBook';
import type { KnownEntry } from '../directory/directoryBook';
import type { PromotionOrders, PromotionStore } from '../ports/platformPort';
import type { UpstreamDriver } from '../ports/upstreamPort';
import { createPromotionTask } from '../promotion/promotionTask';
import { createFloorKeeper } from './floorKeeper';
import { createEvidenceAsker } from './evidenceAsker';
import { markAsked } from './groupContext';
import type { GroupAccess } from './groupAccess';
import type { GroupContext, GroupCounters } from './groupContext';
import { createLeavingMembers } from './leavingMembers';
import { avoidMember, createMember, describeLeaving } from './member';
import type { Member } from './member';
import { createPrimaryBelief } from './primaryBelief';
import { createPrimaryProof } from './primaryProof';
import { createReadPath } from './readPath';
import { toCommand } from './statementRequest';
import type { StatementRequest } from './statementRequest';
import { createTransactionOpener } from './transaction';
import { createUpstreamPool } from './upstreamPool';
import { createWritePath } from './writePath';

/** Serves the statements of one group and keeps it with a primary. */
export interface GroupTask extends GroupAccess {
  updateMembers: (entries: KnownEntry[]) => void;
  updateLimits: (limits: GroupLimits) => void;
  /** Whether a statement could be served now. */
  isUsable: () => boolean;
  /** Forgets what depends on the time that passed, after the process was suspended. */
  forgetAges: () => void;
  counters: GroupCounters;
  close: () => void;
}

/** @public */
export interface GroupTaskOptions {
  group: string;
  instance: string;
  dataCentre: string;
  limits: GroupLimits;
  driver: UpstreamDriver;
  store: PromotionStore;
  orders: PromotionOrders;
  clock: Clock;
  /** Uniform in [0, 1). */
  random: () => number;
  logger: Logger;
  uses: UsesMechanism;
  /** Whether this instance keeps connections to the members for itself or for others. */
  isHolder: () => boolean;
  /** Instances that keep connections to the members, this one included. */
  countSharers: () => number;
  /** Whether the list of instances is known; until then each takes itself for a holder. */
  areInstancesKnown: () => boolean;
  /** How long a member's entry may be missing before the member counts as gone, in milliseconds. */
  missingGrace: number;
  /** Time after which a member that leaves may be reached by no new statement, in milliseconds. */
  leavingBound: number;
}

/**
 * Part of a member's connections that one instance opens at the most. Callers spread unevenly over
 * the instances, so a fixed share would leave places unused.
 */
const LARGEST_CONNECTION_SHARE = 0.5;

/**
 * Part of a member's connections that instances share evenly. The rest is for those with more callers
 * than others, and for all after a loss of power, when a member counts the dead ones for seconds.
 */
const SHARED_CONNECTION_SHARE = 0.6;

/** Fewer would let two open transactions stop all other statements. */
const FEWEST_CONNECTIONS = 4;

const UPKEEP_MILLISECONDS = 500;

/**
 * Time from the claim of a promoter until the promotion that it ordered has taken effect: until
 * another may take the claim over, and the second that members need at the most to lead.
 */
const LONGEST_PROMOTION_MILLISECONDS = CLAIM_TAKEOVER_MILLISECONDS + 1_000;

export function createGroupTask(options: GroupTaskOptions): GroupTask {
  const { group, dataCentre, driver, clock, isHolder, countSharers, logger, missingGrace, uses } =
    options;
  const members = new Map<string, Member>();
  const evidence = createGroupEvidence();
  const belief = createPrimaryBelief(members, clock);
  const leaving = createLeavingMembers({ members, belief, clock, bound: options.leavingBound });
  const counters: GroupCounters = {
    probes: 0,
    retries: 0,
    refusals: 0,
    promotions: 0,
    relayed: 0,
    refusedBesideIdle: 0,
    replicaReads: 0,
    primaryReads: 0,
    sentToLeaving: 0,
  };
  let { limits } = options;
  let onSuspicion: GroupContext['suspectPrimary'] = () => undefined;

  const context: GroupContext = {
    group,
    members,
    evidence,
    belief,
    clock,
    logger,
    driver,
    counters,
    leaving,
    uses,
    random: options.random,
    suspectPrimary: (cause, member) => onSuspicion(cause, member),
  };
  const promotion = createPromotionTask(context, options);
  onSuspicion = promotion.suspect;
  const asker = createEvidenceAsker(context);
  const proof = createPrimaryProof(context, asker);
  const floors = createFloorKeeper(context);
  const reads = createReadPath(context, { proof, floors });
  const writes = createWritePath(context, {
    proof,
    readTermOrigin: (): Promise<TermOrigin | undefined> => promotion.readTermOrigin(),
  });
  const transactions = createTransactionOpener(context, { reads, writes, proof });
  const stopUpkeep = clock.every(UPKEEP_MILLISECONDS, upkeep);

  async function read(request: StatementRequest): Promise<UpstreamAnswer> {
    const { answer, place } = await reads.place(request, (after) => toCommand(request, after));
    if (place) {
      place.member.pool.release(place.connection);
      counters[place.isPrimary ? 'primaryReads' : 'replicaReads'] += 1;
    }
    return answer;
  }

  function updateMembers(entries: KnownEntry[]): void {
    const listed = new Map(entries.map((entry) => [entry.memberId, entry]));
    for (const entry of entries) addOrUpdate(entry);
    for (const member of members.values()) {
      if (!listed.has(member.entry.memberId) && member.missingSince === undefined) {
        logger.warn('memberMissing', { group, memberId: member.entry.memberId });
        member.missingSince = clock.now();
      }
    }
    belief.notifyChange();
    reviewDirectory();
    lookAhead();
  }

  /**
   * Learns a floor before the first read asks for one, and opens the connections for it, so that
   * callers who come back after a loss of all instances do not wait for it.
   */
  function lookAhead(): void {
    const knowsNothing = evidence.highestTerm() === 0 && members.size > 0;
    // Without the list, all instances of a large deployment would take the places of its holders.
    const holdsForSure = options.areInstancesKnown() && isHolder();
    if (knowsNothing && holdsForSure && uses('lookingAhead')) void floors.refresh();
  }

  function addOrUpdate(entry: KnownEntry): void {
    const known = members.get(entry.memberId);
    if (known && isSameLife(known.entry, entry)) {
      if (isChanged(known.entry, entry)) logger.info('memberChanged', describeEntry(entry));
      Object.assign(known, { entry, missingSince: undefined });
      return;
    }
    if (known) restartMember(known, entry);
    logger.info('memberAdded', describeEntry(entry));
    members.set(entry.memberId, openMember(entry));
  }

  function describeEntry({ leavingSince, ...entry }: KnownEntry) {
    return { ...entry, ...describeLeaving(leavingSince, clock.readings()) };
  }

  /**
   * A member that started again under its id holds and knows nothing of before, at its address as at
   * another one: its connections are dead, its prepared statements gone, and it leads no term.
   */
  function restartMember({ entry: former, pool }: Member, entry: KnownEntry): void {
    const { memberId } = entry;
    logger.warn('memberRestarted', { group, memberId, former: former.startedAt });
    pool.close();
    belief.forgetMember(memberId);
    const trustedFrom = clock.now() + LONGEST_PROMOTION_MILLISECONDS;
    evidence.restartMember(memberId, { trustedFrom });
  }

  function openMember(entry: KnownEntry): Member {
    const pool = createUpstreamPool({
      driver,
      clock,
      logger,
      group,
      memberId: entry.memberId,
      address: entry.address,
      fairShare,
      maximumConnections: connectionsOf(limits, LARGEST_CONNECTION_SHARE),
      isHolder,
      uses,
      onFreed: () => members.get(entry.memberId)?.gate.review(),
      onUnreachable: () => handleUnreachable(entry.memberId),
    });
    return createMember({
      entry,
      pool,
      isNear: entry.dataCentre === dataCentre,
      clock,
      uses,
    });
  }

  function fairShare(): number {
    const shared = limits.maximumConnections * SHARED_CONNECTION_SHARE;
    return Math.max(1, Math.floor(shared / countSharers()));
  }

  function handleUnreachable(memberId: string): void {
    const member = members.get(memberId);
    if (!member) return;
    avoidMember(member, clock.now());
    if (belief.find() === member) context.suspectPrimary('unreachable', member);
  }

  function upkeep(): void {
    for (const [memberId, member] of members) {
      member.pool.trim();
      const missing = member.missingSince;
      if (missing !== undefined && clock.now() - missing > missingGrace) {
        logger.warn('memberGone', { group, memberId });
        members.delete(memberId);
        evidence.forgetMember(memberId);
        member.pool.close();
      }
    }
    reviewDirectory();
  }

  /**
   * Only holders look after the primary unasked. A look costs questions to all members and connections
   * that an instance without callers of its own there does not have; were all to look at once, the
   * places of a member would not do.
   */
  function reviewDirectory(): void {
    if (isHolder()) promotion.reviewDirectory();
  }

  return {
    read,
    write: writes.write,
    openTransaction: transactions.open,
    markArrival: () => markAsked(context),
    updateMembers,
    updateLimits: (next) => {
      limits = next;
      const maximum = connectionsOf(limits, LARGEST_CONNECTION_SHARE);
      for (const member of members.values()) member.pool.setMaximum(maximum);
    },
    isUsable: () => members.size > 0 && belief.find() !== undefined,
    forgetAges: evidence.forgetAges,
    counters,
    close: () => {
      stopUpkeep();
      asker.stop();
      promotion.close();
      for (const member of members.values()) member.pool.close();
    },
  };
}

function connectionsOf({ maximumConnections }: GroupLimits, share: number): number {
  return Math.max(FEWEST_CONNECTIONS, Math.floor(maximumConnections * share));
}

function isChanged(before: KnownEntry, after: KnownEntry): boolean {
  return before.isPrimary !== after.isPrimary || before.isLeaving !== after.isLeaving;
}
