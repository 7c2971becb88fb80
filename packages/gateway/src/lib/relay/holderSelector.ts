import { planConnectionHolders } from '@wisterialift/pooling';
import type { ConnectionHolderPlan } from '@wisterialift/pooling';
import type { Logger } from '@wisterialift/telemetry';
import type { IsMechanismEnabled } from '../mechanisms';
import type { Clock } from '../ports/clock';
import type { InstanceEntry, InstanceRegistry, RelayTransport } from '../ports/instancePort';
import { createPeerLink } from './peerLink';
import type { PeerLink } from './peerLink';

/**
 * Selects the holders of a group, the instances that connect to its members, and opens links to
 * them for relaying.
 */
export interface HolderSelector {
  /** Returns the link for relaying a statement; undefined if this instance runs it. */
  selectLink: (group: string) => PeerLink | undefined;
  /**
   * Returns the link to another holder, of this data centre or of the others; undefined if there is
   * none.
   *
   * @param refusing - links to holders that do not reach the members.
   */
  selectOtherLink: (group: string, refusing: ReadonlySet<PeerLink>) => PeerLink | undefined;
  /**
   * Returns the link to a holder in another data centre; undefined if no stream to one is open, or
   * every instance connects for its own callers.
   */
  selectLinkIn: (group: string, dataCentre: string) => PeerLink | undefined;
  /** Returns the links to all other reachable holders; none if every instance is one. */
  listOtherLinks: (group: string) => PeerLink[];
  /** Number of holders planned in a data centre; 0 if every instance connects for its own callers. */
  countHoldersIn: (group: string, dataCentre: string) => number;
  /** Returns the link to an instance; undefined if it is unknown or cannot be reached at present. */
  findLink: (instance: string) => PeerLink | undefined;
  /** Whether instances other than this one hold connections to the group's members. */
  hasOtherHolders: (group: string) => boolean;
  /** Whether this instance holds connections to the group's members. */
  isHolder: (group: string) => boolean;
  /** Number of instances that may connect to the group's members; Infinity if unknown. */
  countConnectedInstances: (group: string) => number;
  /** Whether an instance of this data centre tells of new configuration versions promptly. */
  isInformed: () => boolean;
  /** Whether the list of instances has been received. */
  isReady: () => boolean;
  updateInstances: (instances: InstanceEntry[]) => void;
  updateLimits: (group: string, maximumConnections: number) => void;
  close: () => void;
}

export interface HolderSelectorOptions {
  instance: string;
  dataCentre: string;
  clock: Clock;
  logger: Logger;
  transport: RelayTransport;
  registry: InstanceRegistry;
  isMechanismEnabled: IsMechanismEnabled;
  /** Called with the configuration version of each response of another instance. */
  onVersion: (link: PeerLink, version: number) => void;
  /** Called when a group is assigned to holders, so that relayed statements may arrive. */
  onHoldersAssigned: () => void;
}

/** The reconnect delay doubles with each failure up to the maximum, about the time of a restart. */
const INITIAL_RECONNECT_DELAY_MILLISECONDS = 300;
const MAXIMUM_RECONNECT_DELAY_MILLISECONDS = 3_000;

/** Time without a stream after which an instance is reported as unreachable: several restarts. */
const UNREACHABLE_THRESHOLD_MILLISECONDS = 60_000;

interface Peer {
  entry: InstanceEntry;
  link: PeerLink | undefined;
  failures: number;
  reconnectAt: number;
  /** Time of the first of the consecutive failures. */
  failingSince: number | undefined;
}

export function createHolderSelector(options: HolderSelectorOptions): HolderSelector {
  const {
    instance,
    dataCentre,
    clock,
    logger,
    transport,
    registry,
    isMechanismEnabled,
    onHoldersAssigned,
    onVersion,
  } = options;
  const peers = new Map<string, Peer>();
  const limits = new Map<string, number>();
  const plans = new Map<string, ConnectionHolderPlan>();
  let instances: InstanceEntry[] | undefined;

  function getPlan(group: string): ConnectionHolderPlan {
    const known = plans.get(group);
    if (known) return known;
    const maximumConnections = limits.get(group);
    if (!instances || maximumConnections === undefined) return { type: 'everyone' };
    if (!isMechanismEnabled('holders')) return { type: 'everyone' };
    const plan = planConnectionHolders({
      group,
      candidates: instances,
      dataCentre,
      maximumConnections,
    });
    plans.set(group, plan);
    logger.info('holdersPlanned', { group, instances: instances.length, ...plan });
    return plan;
  }

  function updatePlans(): void {
    plans.clear();
    if ([...limits.keys()].some((group) => getPlan(group).type === 'holders')) onHoldersAssigned();
  }

  /**
   * Whether an instance can run statements. Once the reconnect delay of a lost instance has passed,
   * opens a new link, but returns false until its stream is open, so that no statement waits for it.
   */
  const isReachable = (name: string) => {
    if (name === instance) return true;
    const peer = peers.get(name);
    if (!peer || peer.reconnectAt > clock.now()) return false;
    if (peer.failures === 0) return peer.link?.isUsable() ?? true;
    return openLink(peer).isOpen();
  };

  const openLinks = (names: string[]) => names.map((name) => openLink(peers.get(name)!));

  /** Selects reachable holders of this data centre, or of the others if there are none. */
  function selectHolders(plan: ConnectionHolderPlan & { type: 'holders' }): string[] {
    const near = plan.near.filter(isReachable).slice(0, plan.nearCount);
    return near.length > 0 ? near : plan.far.filter(isReachable);
  }

  function selectLink(group: string): PeerLink | undefined {
    const plan = getPlan(group);
    if (plan.type === 'everyone') return undefined;
    const holders = selectHolders(plan);
    if (holders.includes(instance)) return undefined;
    return findLeastBusy(openLinks(holders));
  }

  function selectOtherLink(group: string, refusing: ReadonlySet<PeerLink>): PeerLink | undefined {
    const plan = getPlan(group);
    if (plan.type === 'everyone') return undefined;
    const near = plan.near.filter(isReachable).slice(0, plan.nearCount);
    for (const names of [near, plan.far.filter(isReachable)]) {
      const others = names.filter((name) => name !== instance);
      const link = findLeastBusy(openLinks(others).filter((each) => !refusing.has(each)));
      if (link) return link;
    }
    return undefined;
  }

  const isIn = (name: string, place: string) => peers.get(name)?.entry.dataCentre === place;

  /** Streams are opened before statements need them, so that none waits for it. */
  function selectLinkIn(group: string, place: string): PeerLink | undefined {
    const plan = getPlan(group);
    if (plan.type === 'everyone') return undefined;
    const names = plan.far.filter((name) => isIn(name, place) && isReachable(name));
    return findLeastBusy(openLinks(names).filter((link) => link.isOpen()));
  }

  function listOtherLinks(group: string): PeerLink[] {
    const plan = getPlan(group);
    if (plan.type === 'everyone') return [];
    const near = plan.near.filter(isReachable).slice(0, plan.nearCount);
    const names = [...near, ...plan.far.filter(isReachable)];
    return openLinks(names.filter((name) => name !== instance));
  }

  function countHoldersIn(group: string, place: string): number {
    const plan = getPlan(group);
    if (plan.type === 'everyone') return 0;
    if (place === dataCentre) return Math.min(plan.nearCount, plan.near.length);
    return plan.far.filter((name) => isIn(name, place) && isReachable(name)).length;
  }

  function openLink(peer: Peer): PeerLink {
    if (peer.link) return peer.link;
    const link: PeerLink = createPeerLink({
      transport,
      address: peer.entry.address,
      clock,
      onVersion: (version) => onVersion(link, version),
      onOpen: () => Object.assign(peer, { failures: 0, failingSince: undefined }),
      onLost: (error) => handleLost(peer, error),
    });
    Object.assign(peer, { link });
    return link;
  }

  function handleLost(peer: Peer, error: Error): void {
    const { instance: name, address } = peer.entry;
    if (peers.get(name) !== peer) return;
    const now = clock.now();
    const failingSince = peer.failingSince ?? now;
    const reconnectDelay = INITIAL_RECONNECT_DELAY_MILLISECONDS * 2 ** peer.failures;
    logger.warn('instanceLost', { peer: name, address, failures: peer.failures, error });
    Object.assign(peer, {
      link: undefined,
      failures: Math.min(peer.failures + 1, 8),
      failingSince,
      reconnectAt: now + Math.min(MAXIMUM_RECONNECT_DELAY_MILLISECONDS, reconnectDelay),
    });
    if (now - failingSince > UNREACHABLE_THRESHOLD_MILLISECONDS) registry.reportUnreachable(name);
  }

  function updateInstances(next: InstanceEntry[]): void {
    instances = next;
    const listed = new Map(next.map((entry) => [entry.instance, entry]));
    listed.delete(instance);
    for (const [name, { entry, link }] of [...peers]) {
      if (listed.get(name)?.address === entry.address) continue;
      peers.delete(name);
      link?.close();
    }
    for (const [name, entry] of listed) {
      const known = peers.get(name);
      if (known) known.entry = entry;
      else peers.set(name, createPeer(entry));
    }
    updatePlans();
  }

  return {
    selectLink,
    selectOtherLink,
    selectLinkIn,
    listOtherLinks,
    countHoldersIn,
    findLink: (name) => {
      const peer = peers.get(name);
      if (!peer || !isReachable(name)) return undefined;
      return openLink(peer);
    },
    hasOtherHolders: (group) => getPlan(group).type === 'holders',
    isHolder: (group) => {
      const plan = getPlan(group);
      return plan.type === 'everyone' || selectHolders(plan).includes(instance);
    },
    countConnectedInstances: (group) => {
      // Infinity limits the fair share to one connection until the instances are known.
      if (!instances) return Infinity;
      const plan = getPlan(group);
      return plan.type === 'everyone' ? instances.length : plan.nearCount + plan.far.length;
    },
    isInformed: () =>
      [...peers.values()].some(
        ({ entry, link }) => entry.dataCentre === dataCentre && (link?.tellsVersions() ?? false),
      ),
    isReady: () => instances !== undefined,
    updateInstances,
    updateLimits: (group, maximumConnections) => {
      if (limits.get(group) === maximumConnections) return;
      limits.set(group, maximumConnections);
      updatePlans();
    },
    close: () => {
      for (const { link } of peers.values()) link?.close();
    },
  };
}

function findLeastBusy(links: PeerLink[]): PeerLink | undefined {
  const [first] = links.sort(
    (left, right) => left.countPendingRequests() - right.countPendingRequests(),
  );
  return first;
}

function createPeer(entry: InstanceEntry): Peer {
  return { entry, link: undefined, failures: 0, reconnectAt: -Infinity, failingSince: undefined };
}
