import type { Database } from '@wisterialift/schema';
import { createFakeDatabase, type FakeDatabase } from '../fakes/fakeDatabase';
import { createFakeProxy, type FakeProxy } from '../fakes/fakeProxy';
import { createOracle, type Oracle } from '../oracle/oracle';
import { createNetwork, type Network } from '../simulation/network';
import { createRandom, type Random } from '../simulation/random';
import type { Scheduler } from '../simulation/scheduler';
import { MEMBERS, PROXIES, type HistoryPlan } from './historyPlan';
import type { Step } from './step';

/** Three databases, three proxies, and what connects them. @public */
export interface Cluster {
  scheduler: Scheduler;
  network: Network;
  random: Random;
  oracle: Oracle;
  databases: readonly FakeDatabase[];
  /** The proxy at each place behind the balancer; changes with restarts. */
  proxies: readonly FakeProxy[];
  startProxy: (place: number) => void;
  describeDatabases: (leaving: ReadonlySet<string>) => Database[];
  /** Tells every proxy, late and at different times, which instances are live. */
  tellInstances: () => void;
  setPlatformUp: (isUp: boolean) => void;
  /** Promotions that some proxy completed. */
  promotions: () => number;
}

/** @public */
export interface ClusterOptions {
  plan: HistoryPlan;
  scheduler: Scheduler;
  /** Longest time for which a leaving database may get new writes. */
  leavingBoundMilliseconds: number;
  onStep: (step: Step, member: string, proxy: string) => void;
  trace: (text: string) => void;
}

const DATA_CENTRES = ['sesto-dc', 'mestre-dc', 'modena-dc'];
const CONNECTION_LIMIT = 30;
const SLOTS = 5;
const LATEST_PUBLICATION_MILLISECONDS = 200;
const LONGEST_LIST_LAG_MILLISECONDS = 1_000;

/** Creates the cluster of a history and starts it: the first database is the primary of term 1. @public */
export function createCluster(options: ClusterOptions): Cluster {
  const { plan, scheduler, leavingBoundMilliseconds, onStep, trace } = options;
  const random = createRandom(plan.seed);
  const network = createNetwork({ ...plan, scheduler, random });
  const databases: FakeDatabase[] = [];
  const proxies: FakeProxy[] = [];
  const oracle = createOracle({ now: scheduler.now, databases: () => databases });
  let starts = 0;
  let promotions = 0;
  let isPlatformUp = true;

  const findMember = (name: string) => databases.find((database) => database.name === name)!;

  const describeDatabases = (leaving: ReadonlySet<string>): Database[] =>
    databases.map(({ name }, index) => ({
      name,
      host: '127.0.0.1',
      port: 3306,
      dataCentre: DATA_CENTRES[index]!,
      connectionLimit: CONNECTION_LIMIT,
      slots: SLOTS,
      leaving: leaving.has(name),
    }));

  const publish = (from: string, term: number, primary: string) => {
    promotions += 1;
    if (!isPlatformUp) return;
    proxies.forEach((proxy) => {
      if (proxy.name === from) return;
      const delay = random.between(1, LATEST_PUBLICATION_MILLISECONDS);
      scheduler.after(delay, () => proxy.notify({ type: 'primaryPublished', term, primary }));
    });
  };

  const tellInstances = () => {
    if (!isPlatformUp || plan.hasLonelyLists) return;
    const liveInstances = proxies
      .filter((proxy) => proxy.acceptsRequests())
      .map(({ name }) => name);
    proxies.forEach((proxy) => {
      scheduler.after(random.between(1, LONGEST_LIST_LAG_MILLISECONDS), () =>
        proxy.notify({ type: 'instancesChanged', liveInstances }),
      );
    });
  };

  const startProxy = (place: number) => {
    starts += 1;
    const name = `p${place}-${starts}`;
    const proxy = createFakeProxy({
      name,
      dataCentre: DATA_CENTRES[place]!,
      databases: describeDatabases(new Set()),
      scheduler,
      network,
      random: createRandom(plan.seed + starts),
      oracle,
      findMember,
      leavingBoundMilliseconds,
      publish,
      onStep: (step, member) => onStep(step, member, name),
      trace,
    });
    proxies[place] = proxy;
    const liveInstances = plan.hasLonelyLists ? [name] : proxies.map((other) => other.name);
    proxy.notify({ type: 'instancesChanged', liveInstances });
    tellInstances();
  };

  const setPlatformUp = (isUp: boolean) => {
    isPlatformUp = isUp;
    if (isUp) tellInstances();
  };

  for (let index = 0; index < MEMBERS; index += 1) {
    const name = `d${index}`;
    const { onExecuted } = oracle;
    databases.push(
      createFakeDatabase({ name, scheduler, network, random, findMember, onExecuted }),
    );
  }
  databases.forEach((database) => database.attach('d0'));
  for (let place = 0; place < PROXIES; place += 1) startProxy(place);

  return {
    scheduler,
    network,
    random,
    oracle,
    databases,
    proxies,
    startProxy,
    describeDatabases,
    tellInstances,
    setPlatformUp,
    promotions: () => promotions,
  };
}
