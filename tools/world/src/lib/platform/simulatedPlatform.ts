import type {
  ConfigurationPort,
  DirectoryEntry,
  DirectoryFreshness,
  DirectoryPort,
  GatewayConfiguration,
  InstanceEntry,
  InstanceRegistry,
  MemberRegisterStore,
  PromotionOrderClient,
  PromotionStore,
  RecordStore,
  StoredRecord,
} from '@wisterialift/gateway';
import type { ClockReadings, MemberRegister, PromotionRecord } from '@wisterialift/pooling';
import type { SimulatedDatabase } from '../databases/simulatedDatabase';
import type { ReplicatedLog } from '../databases/replicatedLog';
import type { Host, Simulation } from '../simulation/host';
import { readingsAt } from '../simulation/simulatedClock';

/** What a directory tells of its own age. */
type ToldTimes = Pick<DirectoryFreshness, 'changedAfter' | 'completeAt'>;

/** The ports of the gateway that the platform fills, for one instance. @internal */
export interface PlatformPorts {
  directory: DirectoryPort;
  configuration: ConfigurationPort;
  store: PromotionStore;
  memberRegisters: MemberRegisterStore;
  orders: PromotionOrderClient;
  registry: InstanceRegistry;
}

/** The platform's store, its directory and its orders. @internal */
export interface SimulatedPlatform {
  /** Where it is; partitions between data centres may separate it from instances and members. */
  dataCentre: string;
  portsOf: (host: Host, own: InstanceEntry) => PlatformPorts;
  configure: (configuration: GatewayConfiguration) => void;
  /** The store answers nobody until it is up again. */
  setDown: (isDown: boolean) => void;
  /** Puts the databases' entries anew. */
  review: () => void;
  setLeaving: (memberId: string, isLeaving: boolean) => void;
  /** The store hears nothing from the member, although it runs. */
  setUnheard: (memberId: string, isUnheard: boolean) => void;
  /** Neither the store nor orders reach the members, although they run. */
  setSeparated: (memberIds: readonly string[], isSeparated: boolean) => void;
  /** Takes the entry of a member off that has ended in order. */
  withdraw: (memberId: string) => void;
  /** When the store accepted that the member leaves; undefined while it stays. */
  leavingAt: (memberId: string) => number | undefined;
  /** Changes of the directory reach these instances later by this time. */
  delayChanges: (hosts: readonly Host[], milliseconds: number) => void;
  /** The store answers these instances nothing and tells them of no change while they are cut off. */
  setCutOff: (hosts: readonly Host[], isCutOff: boolean) => void;
}

/** A call there and back, and the time of a change until a watch tells it. */
const CALL_MILLISECONDS = 14;
const WATCH_MILLISECONDS = 18;

/** Time after which a watch that had nothing to tell ends. */
const WAIT_MILLISECONDS = 2_000;

/** A database that is silent for this long is taken off the directory. */
const LAPSE_MILLISECONDS = 3_600;

/** Pause before a call that was not answered is sent again. */
const RETRY_MILLISECONDS = 500;

/** Creates the platform of a world. @internal */
export function createSimulatedPlatform(options: {
  simulation: Simulation;
  databases: ReadonlyMap<string, SimulatedDatabase>;
  groups: ReadonlyMap<string, ReplicatedLog>;
  slots: number;
  dataCentre: string;
}): SimulatedPlatform {
  const { simulation, databases, groups, slots, dataCentre } = options;
  const { scheduler } = simulation;
  const promotionRecords = new Map<string, StoredRecord<PromotionRecord>>();
  const memberRegisters = new Map<string, StoredRecord<MemberRegister>>();
  const entries = new Map<string, DirectoryEntry>();
  const leaving = new Map<string, number>();
  const unheard = new Set<string>();
  const separated = new Set<string>();
  const instances = new Map<string, InstanceEntry>();
  const watchers = new Set<() => void>();
  let configuration: GatewayConfiguration | undefined;
  let revision = 1;
  let isDown = false;
  const changeDelays = new Map<Host, number>();
  const cutOff = new Set<Host>();

  const isOutOfTouch = ({ name }: Host) => unheard.has(name) || separated.has(name);

  const isAway = (host: Host) => isDown || cutOff.has(host);

  const nextRevision = () => {
    revision += 1;
    return revision;
  };

  function review(): void {
    for (const database of databases.values()) reviewDatabase(database);
    notify();
  }

  function reviewDatabase(database: SimulatedDatabase): void {
    const { group, host, state } = database;
    const { role, isUp } = state;
    const memberId = database.memberId();
    const known = entries.get(memberId);
    if (!isUp || isOutOfTouch(host)) {
      scheduler.after(LAPSE_MILLISECONDS, () => removeSilent(database, memberId));
      return;
    }
    const isPrimary = role === 'primary';
    const isLeaving = leaving.has(host.name);
    const startedAt = host.life();
    const isSame =
      known?.isPrimary === isPrimary &&
      known.isLeaving === isLeaving &&
      known.startedAt === startedAt;
    if (isSame) return;
    entries.set(memberId, {
      memberId,
      group,
      address: host.name,
      dataCentre: host.dataCentre,
      isPrimary,
      isLeaving,
      slots,
      revision: nextRevision(),
      createdRevision: known?.createdRevision ?? revision,
      startedAt,
    });
  }

  /** A member says that it leaves until the store accepts it; its next life stays from its start on. */
  function setLeaving(memberId: string, isLeaving: boolean): void {
    if (isLeaving && isDown) {
      scheduler.after(RETRY_MILLISECONDS, () => setLeaving(memberId, isLeaving));
      return;
    }
    if (isLeaving) leaving.set(memberId, scheduler.now());
    else leaving.delete(memberId);
    review();
  }

  function removeSilent(database: SimulatedDatabase, memberId: string): void {
    const { host, state } = database;
    const isSilent = !state.isUp || isOutOfTouch(host);
    if (!isSilent && database.memberId() === memberId) return;
    remove(memberId);
  }

  function remove(memberId: string): void {
    entries.delete(memberId);
    notify();
  }

  function notify(): void {
    if (isDown) return;
    for (const watcher of watchers) watcher();
  }

  /**
   * Calls back at once and at each change, as a list and a watch do.
   *
   * @param onChange - told from when on all that is new was accepted, and until when it is whole.
   * @param followers.onUnchanged - told at the end of a wait until when nothing was new.
   * @param followers.onLost - told that a call or a wait failed.
   */
  function follow(
    host: Host,
    onChange: (told: ToldTimes) => void,
    followers: Pick<Parameters<DirectoryPort['subscribe']>[0], 'onUnchanged' | 'onLost'> = {},
  ): () => void {
    const life = host.life();
    const isRunning = () => host.life() === life && host.isPowered();
    let wholeAt: ClockReadings | undefined;
    const tell = () => {
      if (!isRunning() || isAway(host)) return;
      const completeAt = readingsAt(scheduler.now() - WATCH_MILLISECONDS);
      onChange({ changedAfter: wholeAt, completeAt });
      wholeAt = completeAt;
    };
    const delay = () => changeDelays.get(host) ?? 0;
    let changesUnderWay = 0;
    const watcher = () => {
      changesUnderWay += 1;
      scheduler.after(WATCH_MILLISECONDS + delay(), () => {
        changesUnderWay -= 1;
        tell();
      });
    };
    const endWait = () => {
      if (!isRunning()) return;
      if (isAway(host)) followers.onLost?.();
      else if (delay() === 0 && changesUnderWay === 0) {
        wholeAt = readingsAt(scheduler.now() - WATCH_MILLISECONDS);
        followers.onUnchanged?.(wholeAt);
      }
      scheduler.after(WAIT_MILLISECONDS, endWait);
    };
    const list = () => {
      if (!isRunning()) return;
      if (isAway(host)) {
        followers.onLost?.();
        scheduler.after(RETRY_MILLISECONDS, list);
        return;
      }
      watchers.add(watcher);
      tell();
      scheduler.after(WAIT_MILLISECONDS, endWait);
    };
    host.onEnd(() => watchers.delete(watcher));
    scheduler.after(CALL_MILLISECONDS, list);
    return tell;
  }

  function call<Value>(host: Host, action: () => Value): Promise<Value> {
    return new Promise((resolve, reject) => {
      scheduler.after(CALL_MILLISECONDS, () => {
        if (isAway(host)) reject(new Error('the store does not answer'));
        else resolve(action());
      });
    });
  }

  const createStore = <Content>(
    host: Host,
    records: Map<string, StoredRecord<Content>>,
  ): RecordStore<Content> => ({
    read: (group) => call(host, () => records.get(group)),
    replace: async ({ group, record, revision: expected }) => {
      try {
        return await call(host, () => {
          if (records.get(group)?.revision !== expected) return { type: 'conflict' as const };
          const stored = { record, revision: nextRevision() };
          records.set(group, stored);
          return { type: 'replaced' as const, revision: stored.revision };
        });
      } catch {
        return { type: 'unknown' };
      }
    },
  });

  const orders: PromotionOrderClient = {
    promote: ({ group, memberId }) =>
      new Promise((resolve) => {
        scheduler.after(CALL_MILLISECONDS, () => {
          const member = [...databases.values()].find((other) => other.memberId() === memberId);
          const hostName = member?.host.name ?? memberId;
          const isAccepted = !separated.has(hostName) && groups.get(group)?.promote(hostName);
          resolve(isAccepted ? 'accepted' : 'notRunning');
        });
      }),
  };

  function createDirectory(host: Host): DirectoryPort {
    let tell: (() => void) | undefined;
    return {
      subscribe: ({ onChange, ...followers }) => {
        const onTold = (told: ToldTimes) =>
          onChange([...entries.values()], { isFresh: true, ...told });
        tell = follow(host, onTold, followers);
      },
      refresh: () => call(host, () => tell?.()),
    };
  }

  return {
    dataCentre,
    portsOf: (host, own) => ({
      directory: createDirectory(host),
      configuration: {
        refresh: async () => undefined,
        isFresh: () => true,
        isCurrent: () => true,
        subscribe: ({ onChange }) => {
          follow(host, () => configuration && onChange(configuration));
        },
      },
      store: createStore(host, promotionRecords),
      memberRegisters: createStore(host, memberRegisters),
      orders,
      registry: {
        registerInstance: (onChange) => {
          instances.set(own.instance, own);
          follow(host, () => onChange([...instances.values()], { mayOthersLag: false }));
          notify();
        },
        reportUnreachable: (instance) => {
          instances.delete(instance);
          notify();
        },
      },
    }),
    configure: (next) => {
      configuration = next;
      notify();
    },
    setDown: (value) => {
      isDown = value;
      if (!isDown) notify();
    },
    review,
    setLeaving,
    setUnheard: (memberId, isUnheard) => {
      if (isUnheard) unheard.add(memberId);
      else unheard.delete(memberId);
      review();
    },
    setSeparated: (memberIds, isSeparated) => {
      for (const memberId of memberIds) {
        if (isSeparated) separated.add(memberId);
        else separated.delete(memberId);
      }
      review();
    },
    withdraw: (memberId) => remove(databases.get(memberId)!.memberId()),
    leavingAt: (memberId) => leaving.get(memberId),
    delayChanges: (hosts, milliseconds) => {
      for (const host of hosts) changeDelays.set(host, milliseconds);
    },
    setCutOff: (hosts, isCutOff) => {
      for (const host of hosts) {
        if (isCutOff) cutOff.add(host);
        else cutOff.delete(host);
      }
      if (!isCutOff) notify();
    },
  };
}
