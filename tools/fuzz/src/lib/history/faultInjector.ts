import type { Database } from '@wisterialift/schema';
import type { FakeDatabase } from '../fakes/fakeDatabase';
import type { FakeProxy } from '../fakes/fakeProxy';
import type { Oracle } from '../oracle/oracle';
import type { Network } from '../simulation/network';
import type { Random } from '../simulation/random';
import type { Scheduler } from '../simulation/scheduler';
import { PRIMARY_TARGET, type FaultKind, type FaultPlan } from './historyPlan';
import type { Step } from './step';

/** @public */
export interface FaultInjector {
  strike: (fault: FaultPlan) => void;
  /** Strikes the member and the proxy of these names; an empty name leaves the planned one. */
  strikeAt: (fault: FaultPlan, member: string, proxy: string) => void;
  /** Ends every fault. */
  heal: () => void;
}

/** @public */
export interface FaultInjectorOptions {
  scheduler: Scheduler;
  network: Network;
  random: Random;
  databases: readonly FakeDatabase[];
  /** The proxy at each place behind the balancer; changes with restarts. */
  proxies: readonly FakeProxy[];
  oracle: Oracle;
  startProxy: (place: number) => void;
  describeDatabases: (leaving: ReadonlySet<string>) => Database[];
  onStep: (step: Step, proxy: string) => void;
  tellInstances: () => void;
  setPlatformUp: (isUp: boolean) => void;
  trace: (text: string) => void;
}

const LOSS = 0.25;
const SLOW_MILLISECONDS = 250;
const LOST_ANSWERS = 2;

/** Creates the injector of faults into a running history. @public */
export function createFaultInjector(options: FaultInjectorOptions): FaultInjector {
  const { scheduler, network, databases, proxies, startProxy, trace } = options;
  const leaving = new Set<string>();
  /** Number of the configuration that each proxy has in force. */
  const numbers = new Map<string, number>();
  let configurationNumber = 0;
  let removed: string | undefined;
  /** Number of the list of members, which grows when one is removed or added back. */
  let memberSet = 0;
  let isHealed = false;
  let restarting = new Set<number>();

  const memberOf = ({ member }: FaultPlan): FakeDatabase => {
    if (member !== PRIMARY_TARGET) return databases[member]!;
    const primaries = databases.filter(({ isPrimary }) => isPrimary());
    primaries.sort((left, right) => right.status().currentTerm - left.status().currentTerm);
    return primaries[0] ?? databases[0]!;
  };

  const others = (database: FakeDatabase) => databases.filter((other) => other !== database);

  const setCut = (from: string, to: string, isCut: boolean) =>
    network.setFault(from, to, isCut ? { isCut } : undefined);

  const setBothCut = (one: string, other: string, isCut: boolean) => {
    setCut(one, other, isCut);
    setCut(other, one, isCut);
  };

  const setGroupCut = (database: FakeDatabase, isCut: boolean) =>
    others(database).forEach(({ name }) => setBothCut(database.name, name, isCut));

  const setProxiesCut = (database: FakeDatabase, isCut: boolean) =>
    proxies.forEach(({ name }) => setBothCut(database.name, name, isCut));

  const restartProxy = (place: number) => {
    restarting.delete(place);
    if (!proxies[place]!.isAlive()) startProxy(place);
  };

  /** Proxies hear of a configuration at different times, and never take a lower number. */
  const tellDatabases = () => {
    configurationNumber += 1;
    const number = configurationNumber;
    const described = options.describeDatabases(leaving).filter(({ name }) => name !== removed);
    const event = { type: 'groupChanged', databases: described, memberSet } as const;
    proxies.forEach((proxy) => {
      scheduler.after(options.random.between(5, 800), () => {
        if ((numbers.get(proxy.name) ?? 0) > number) return;
        numbers.set(proxy.name, number);
        options.onStep('adopt', proxy.name);
        proxy.notify(event);
      });
    });
  };

  const setLeaving = (name: string, isLeaving: boolean) => {
    if (isLeaving) leaving.add(name);
    else leaving.delete(name);
    tellDatabases();
  };

  /** Starts a fault and returns what ends it. */
  const starters: Record<FaultKind, (fault: FaultPlan) => () => void> = {
    databaseCrash: (fault) => {
      const database = memberOf(fault);
      database.crash();
      return database.restart;
    },
    twoDatabasesCrash: (fault) => {
      const pair = others(memberOf(fault));
      pair.forEach((database) => database.crash());
      return () => pair.forEach((database) => database.restart());
    },
    databaseFreeze: (fault) => {
      const database = memberOf(fault);
      database.freeze();
      return database.thaw;
    },
    databaseCutFromGroup: (fault) => {
      const database = memberOf(fault);
      setGroupCut(database, true);
      return () => setGroupCut(database, false);
    },
    databaseCutFromProxies: (fault) => {
      const database = memberOf(fault);
      setProxiesCut(database, true);
      return () => setProxiesCut(database, false);
    },
    databaseCutFromOneProxy: (fault) => {
      const { name } = memberOf(fault);
      const proxy = proxies[fault.proxy]!.name;
      setBothCut(name, proxy, true);
      return () => setBothCut(name, proxy, false);
    },
    answersCutFromOneProxy: (fault) => {
      const { name } = memberOf(fault);
      const proxy = proxies[fault.proxy]!.name;
      setCut(name, proxy, true);
      return () => setCut(name, proxy, false);
    },
    databaseIsolated: (fault) => {
      const database = memberOf(fault);
      setGroupCut(database, true);
      setProxiesCut(database, true);
      return () => {
        setGroupCut(database, false);
        setProxiesCut(database, false);
      };
    },
    replicationLag: (fault) => {
      const database = memberOf(fault);
      database.setReplicationLag(fault.durationMilliseconds);
      return () => database.setReplicationLag(0);
    },
    lossyLinks: () => {
      network.setWeather({ loss: LOSS });
      return () => network.setWeather({});
    },
    slowLinks: () => {
      network.setWeather({ extraDelayMilliseconds: SLOW_MILLISECONDS });
      return () => network.setWeather({});
    },
    answerLostBeforeEffect: (fault) => {
      memberOf(fault).loseAnswers(LOST_ANSWERS, 'beforeEffect');
      return () => memberOf(fault).loseAnswers(0, 'beforeEffect');
    },
    answerLostAfterEffect: (fault) => {
      memberOf(fault).loseAnswers(LOST_ANSWERS, 'afterEffect');
      return () => memberOf(fault).loseAnswers(0, 'afterEffect');
    },
    connectionsRefused: (fault) => {
      const database = memberOf(fault);
      database.setRefusesConnections(true);
      return () => database.setRefusesConnections(false);
    },
    proxyCrash: ({ proxy: place }) => {
      proxies[place]!.crash();
      restarting.add(place);
      options.tellInstances();
      return () => restartProxy(place);
    },
    proxyFreeze: ({ proxy: place }) => {
      const proxy = proxies[place]!;
      proxy.freeze();
      return proxy.thaw;
    },
    proxyDrain: ({ proxy: place }) => {
      const proxy = proxies[place]!;
      options.onStep('drain', proxy.name);
      proxy.drain(() => restartProxy(place));
      options.tellInstances();
      return () => {};
    },
    databaseLeaving: (fault) => {
      const { name } = memberOf(fault);
      setLeaving(name, true);
      return () => setLeaving(name, false);
    },
    databaseRemoved: (fault) => {
      removed = memberOf(fault).name;
      memberSet += 1;
      tellDatabases();
      return () => {
        removed = undefined;
        memberSet += 1;
        tellDatabases();
      };
    },
    platformOutage: () => {
      options.setPlatformUp(false);
      return () => options.setPlatformUp(true);
    },
  };

  const open = new Set<() => void>();

  const strike = (fault: FaultPlan) => {
    if (isHealed) return;
    const { kind, durationMilliseconds } = fault;
    trace(`fault ${kind} ${memberOf(fault).name} p${fault.proxy} for ${durationMilliseconds} ms`);
    const end = starters[kind](fault);
    const endOnce = () => {
      if (open.delete(endOnce)) end();
    };
    open.add(endOnce);
    scheduler.after(durationMilliseconds, () => {
      if (open.has(endOnce)) trace(`end of ${kind}`);
      endOnce();
    });
  };

  const heal = () => {
    isHealed = true;
    [...open].forEach((end) => end());
    network.heal();
    databases.forEach((database) => {
      database.thaw();
      database.restart();
      database.setReplicationLag(0);
      database.setRefusesConnections(false);
    });
    proxies.forEach((proxy) => proxy.thaw());
    [...restarting].forEach(restartProxy);
    restarting = new Set();
    leaving.clear();
    removed = undefined;
    configurationNumber += 1;
    proxies.forEach(({ name }) => numbers.set(name, configurationNumber));
    const described = options.describeDatabases(leaving);
    const event = { type: 'groupChanged', databases: described, memberSet } as const;
    proxies.forEach((proxy) => proxy.notify(event));
    options.setPlatformUp(true);
  };

  const strikeAt = (fault: FaultPlan, memberName: string, proxyName: string) => {
    const member = databases.findIndex(({ name }) => name === memberName);
    const proxy = proxies.findIndex(({ name }) => name === proxyName);
    strike({
      ...fault,
      member: member < 0 ? fault.member : member,
      proxy: proxy < 0 ? fault.proxy : proxy,
    });
  };

  return { strike, strikeAt, heal };
}
