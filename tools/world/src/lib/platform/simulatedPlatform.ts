import type {
  ConfigurationPort,
  DirectoryEntry,
  DirectoryPort,
  GatewayConfiguration,
  InstanceEntry,
  InstanceRegistry,
  PromotionOrderClient,
  PromotionStore,
  StoredPromotionRecord,
} from '@wisterialift/gateway';
import type { ClockReadings } from '@wisterialift/pooling';
import type { SimulatedDatabase } from '../databases/simulatedDatabase';
import type { ReplicatedLog } from '../databases/replicatedLog';
import type { Host, Simulation } from '../simulation/host';
import { readingsAt } from '../simulation/simulatedClock';

/** The ports of the gateway that the platform fills, for one instance. @internal */
export interface PlatformPorts {
  directory: DirectoryPort;
  configuration: ConfigurationPort;
  store: PromotionStore;
  orders: PromotionOrderClient;
  registry: InstanceRegistry;
}

/** The platform's store, its directory and its orders. @internal */
export interface SimulatedPlatform {
  portsOf: (host: Host, own: InstanceEntry) => PlatformPorts;
  configure: (configuration: GatewayConfiguration) => void;
  /** The store answers nobody until it is up again. */
  setDown: (isDown: boolean) => void;
  /** Puts the databases' entries anew. */
  review: () => void;
  setLeaving: (memberId: string, isLeaving: boolean) => void;
  /** When the store accepted that the member leaves; undefined while it stays. */
  leavingAt: (memberId: string) => number | undefined;
  /** Changes of the directory reach these instances later by this time. */
  delayChanges: (hosts: readonly Host[], milliseconds: number) => void;
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
}): SimulatedPlatform {
  const { simulation, databases, groups, slots } = options;
  const { scheduler } = simulation;
  const records = new Map<string, StoredPromotionRecord>();
  const entries = new Map<string, DirectoryEntry>();
  const leaving = new Map<string, number>();
  const instances = new Map<string, InstanceEntry>();
  const watchers = new Set<() => void>();
  let configuration: GatewayConfiguration | undefined;
  let revision = 1;
  let isDown = false;
  const changeDelays = new Map<Host, number>();

  const nextRevision = () => {
    revision += 1;
    return revision;
  };

  function review(): void {
    for (const database of databases.values()) reviewDatabase(database);
    notify();
  }

  function reviewDatabase({ group, host, state }: SimulatedDatabase): void {
    const { memberId, role, isUp } = state;
    const known = entries.get(memberId);
    if (!isUp) {
      scheduler.after(LAPSE_MILLISECONDS, () => removeSilent(memberId));
      return;
    }
    const isPrimary = role === 'primary';
    const isLeaving = leaving.has(memberId);
    const startedAt = host.life();
    const isSame =
      known?.isPrimary === isPrimary &&
      known.isLeaving === isLeaving &&
      known.startedAt === startedAt;
    if (isSame) return;
    entries.set(memberId, {
      memberId,
      group,
      address: memberId,
      dataCentre: host.dataCentre,
      isPrimary,
      isLeaving,
      slots,
      revision: nextRevision(),
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

  function removeSilent(memberId: string): void {
    if (databases.get(memberId)!.state.isUp) return;
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
   * @param onChange - told from when on all that is new was accepted.
   */
  function follow(host: Host, onChange: (changedAfter: ClockReadings | undefined) => void): void {
    const life = host.life();
    const isRunning = () => host.life() === life && host.isPowered();
    let wholeAt: ClockReadings | undefined;
    const tell = () => {
      if (!isRunning()) return;
      onChange(wholeAt);
      wholeAt = readingsAt(scheduler.now() - WATCH_MILLISECONDS);
    };
    const delay = () => changeDelays.get(host) ?? 0;
    const watcher = () => scheduler.after(WATCH_MILLISECONDS + delay(), tell);
    const endWait = () => {
      if (!isRunning()) return;
      const isTold = !isDown && delay() === 0;
      if (isTold) wholeAt = readingsAt(scheduler.now() - WATCH_MILLISECONDS);
      scheduler.after(WAIT_MILLISECONDS, endWait);
    };
    const list = () => {
      if (!isRunning()) return;
      if (isDown) {
        scheduler.after(RETRY_MILLISECONDS, list);
        return;
      }
      watchers.add(watcher);
      tell();
      scheduler.after(WAIT_MILLISECONDS, endWait);
    };
    host.onEnd(() => watchers.delete(watcher));
    scheduler.after(CALL_MILLISECONDS, list);
  }

  function call<Value>(action: () => Value): Promise<Value> {
    return new Promise((resolve, reject) => {
      scheduler.after(CALL_MILLISECONDS, () => {
        if (isDown) reject(new Error('the store does not answer'));
        else resolve(action());
      });
    });
  }

  const store: PromotionStore = {
    read: (group) => call(() => records.get(group)),
    replace: async ({ group, record, revision: expected }) => {
      try {
        return await call(() => {
          if (records.get(group)?.revision !== expected) return { type: 'conflict' as const };
          const stored = { record, revision: nextRevision() };
          records.set(group, stored);
          return { type: 'replaced' as const, revision: stored.revision };
        });
      } catch {
        return { type: 'unknown' };
      }
    },
  };

  const orders: PromotionOrderClient = {
    promote: ({ group, memberId }) =>
      new Promise((resolve) => {
        scheduler.after(CALL_MILLISECONDS, () => {
          resolve(groups.get(group)?.promote(memberId) ? 'accepted' : 'notRunning');
        });
      }),
  };

  return {
    portsOf: (host, own) => ({
      directory: {
        subscribe: ({ onChange }) =>
          follow(host, (changedAfter) =>
            onChange([...entries.values()], { isFresh: true, changedAfter }),
          ),
      },
      configuration: {
        subscribe: (onChange) => follow(host, () => configuration && onChange(configuration)),
      },
      store,
      orders,
      registry: {
        registerInstance: (onChange) => {
          instances.set(own.instance, own);
          follow(host, () => onChange([...instances.values()]));
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
    leavingAt: (memberId) => leaving.get(memberId),
    delayChanges: (hosts, milliseconds) => {
      for (const host of hosts) changeDelays.set(host, milliseconds);
    },
  };
}
