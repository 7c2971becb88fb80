import type { Database } from '@wisterialift/schema';
import { createFakeDatabase, type FakeDatabase } from '../fakes/fakeDatabase';
import { createFakeProxy, type FakeProxy } from '../fakes/fakeProxy';
import { endOf } from '../fakes/memberLog';
import { createOracle, describeGroup, type OracleCounts, type Violation } from '../oracle/oracle';
import { createNetwork } from '../simulation/network';
import { createRandom } from '../simulation/random';
import { createScheduler } from '../simulation/scheduler';
import { createFaultInjector, type FaultInjector } from './faultInjector';
import {
  FAULT_WINDOW_MILLISECONDS,
  MEMBERS,
  PROXIES,
  type FaultPlan,
  type HistoryPlan,
} from './historyPlan';
import { startSession } from './sessions';
import type { Step } from './step';

/** What a history came to. @public */
export interface HistoryResult {
  violations: Violation[];
  counts: OracleCounts;
  /** What happened that mattered, oldest first. */
  trace: string[];
  /** Changes of primary. */
  promotions: number;
  /** Milliseconds from the healing until every proxy had a write acknowledged. */
  writesResumedAfter: number | undefined;
  /** Faults of steps that were never reached. */
  unstruckFaults: number;
}

/** A fault that strikes when a step first happens. @public */
export interface StepFault {
  step: Step;
  /** Steps before this time do not count. */
  notBefore: number;
  fault: FaultPlan;
}

/** @public */
export interface HistoryOptions {
  plan: HistoryPlan;
  stepFaults?: StepFault[];
  /** Longest time for which a leaving database may get new writes; without it none is checked. */
  leavingBoundMilliseconds?: number;
}

/** Times of a history in milliseconds. @public */
export const FAULTS_FROM = 500;
const HEALED_AT = FAULTS_FROM + FAULT_WINDOW_MILLISECONDS + 500;
const PROBE_MILLISECONDS = 150;
/** After the healing, writes and reads have to flow again within this time. */
const RECOVERY_MILLISECONDS = 6_000;
const STEP_MILLISECONDS = 100;
const END_OF_SESSIONS = HEALED_AT + RECOVERY_MILLISECONDS;
const MAXIMUM_TRACE = 4_000;
const DATA_CENTRES = ['sesto-dc', 'mestre-dc', 'modena-dc'];
const DETECT_RESTART_MILLISECONDS = 50;

/**
 * Runs one history: three proxies, three databases, sessions and faults; then everything heals, and
 * what the sessions were told is compared with the log that the group ends with.
 *
 * @public
 */
export function runHistory(options: HistoryOptions): HistoryResult {
  const { plan, stepFaults = [], leavingBoundMilliseconds = Infinity } = options;
  const random = createRandom(plan.seed);
  const scheduler = createScheduler();
  const network = createNetwork({ ...plan, scheduler, random });
  const trace: string[] = [];
  const databases: FakeDatabase[] = [];
  const proxies: FakeProxy[] = [];
  const oracle = createOracle({ now: scheduler.now, databases: () => databases });
  const waitingFaults = [...stepFaults];
  let injector: FaultInjector | undefined;
  let starts = 0;
  let promotions = 0;
  let isPlatformUp = true;

  const write = (text: string) => {
    if (trace.length < MAXIMUM_TRACE) trace.push(`${Math.round(scheduler.now())} ${text}`);
  };

  const findMember = (name: string) => databases.find((database) => database.name === name)!;

  const onStep = (step: Step, member: string, proxy: string) => {
    const index = waitingFaults.findIndex(
      (waiting) => waiting.step === step && scheduler.now() >= waiting.notBefore,
    );
    if (index < 0) return;
    const [{ fault }] = waitingFaults.splice(index, 1) as [StepFault];
    const memberIndex = databases.findIndex(({ name }) => name === member);
    const proxyIndex = proxies.findIndex(({ name }) => name === proxy);
    // The fault strikes right after the step, not inside of it.
    scheduler.after(0, () =>
      injector?.strike({
        ...fault,
        member: memberIndex < 0 ? fault.member : memberIndex,
        proxy: proxyIndex < 0 ? fault.proxy : proxyIndex,
      }),
    );
  };

  const describeDatabases = (leaving: ReadonlySet<string>): Database[] =>
    databases.map(({ name }, index) => ({
      name,
      host: '127.0.0.1',
      port: 3306,
      dataCentre: DATA_CENTRES[index]!,
      connectionLimit: 30,
      slots: 5,
      leaving: leaving.has(name),
    }));

  const publish = (from: string, term: number, primary: string) => {
    promotions += 1;
    if (!isPlatformUp) return;
    proxies.forEach((proxy) => {
      if (proxy.name === from) return;
      const delay = random.between(5, 200);
      scheduler.after(delay, () => proxy.notify({ type: 'primaryPublished', term, primary }));
    });
  };

  const tellInstances = () => {
    if (!isPlatformUp || plan.hasLonelyLists) return;
    const liveInstances = proxies
      .filter((proxy) => proxy.acceptsRequests())
      .map(({ name }) => name);
    proxies.forEach((proxy) => {
      scheduler.after(random.between(10, 1_000), () =>
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
      trace: write,
    });
    proxies[place] = proxy;
    const liveInstances = plan.hasLonelyLists ? [name] : proxies.map((other) => other.name);
    proxy.notify({ type: 'instancesChanged', liveInstances });
    tellInstances();
  };

  injector = createFaultInjector({
    scheduler,
    network,
    random,
    databases,
    proxies,
    oracle,
    startProxy,
    describeDatabases,
    trace: write,
    onStep: (step, proxy) => onStep(step, '', proxy),
    tellInstances,
    setPlatformUp: (isUp) => {
      isPlatformUp = isUp;
      if (isUp) tellInstances();
    },
  });

  for (let index = 0; index < MEMBERS; index += 1) {
    databases.push(
      createFakeDatabase({
        name: `d${index}`,
        scheduler,
        network,
        random,
        findMember,
        onExecuted: oracle.onExecuted,
      }),
    );
  }
  databases.forEach((database) => database.attach('d0'));
  for (let place = 0; place < PROXIES; place += 1) startProxy(place);

  const findProxy = (place: number) => proxies[place]!;
  plan.sessions.forEach((session, index) => {
    const name = `s${index}`;
    startSession({ name, plan: session, scheduler, network, oracle, findProxy });
  });
  plan.faults.forEach((fault) =>
    scheduler.at(FAULTS_FROM + fault.at, () => injector?.strike(fault)),
  );
  scheduler.at(HEALED_AT, () => {
    write('everything heals');
    injector?.heal();
  });
  scheduler.runUntil(HEALED_AT + DETECT_RESTART_MILLISECONDS);

  // Recovery

  const writing = new Set<number>();
  const reading = new Set<number>();

  const probe = (place: number, kind: 'write' | 'read', flowing: Set<number>, number: number) => {
    const name = `${kind}-probe-${place}-${number}`;
    startSession({
      name,
      plan: {
        carriesToken: false,
        operations: [{ kind, pauseMilliseconds: 0, proxy: place, isConcurrent: false }],
      },
      scheduler,
      network,
      oracle,
      findProxy: (asked) => {
        const proxy = findProxy(asked);
        return {
          ...proxy,
          submit: (request) =>
            proxy.submit({
              ...request,
              onAnswer: (answer) => {
                if (answer.outcome.status === 'done') flowing.add(place);
                request.onAnswer(answer);
              },
            }),
        };
      },
    });
  };

  const isConverged = () => {
    const primary = databases.find(({ isPrimary }) => isPrimary());
    if (!primary) return false;
    return databases.every(({ status, log }) => {
      const { currentTerm, logEnd } = status();
      const end = endOf(primary.log());
      const isSame = currentTerm === primary.status().currentTerm && logEnd.index === end.index;
      return isSame && log().at(-1) === primary.log().at(-1);
    });
  };

  let probes = 0;
  let writesResumedAfter: number | undefined;
  const isOver = () =>
    writing.size === PROXIES &&
    reading.size === PROXIES &&
    proxies.every((proxy) => proxy.openRequests().length === 0) &&
    isConverged();
  let nextProbeAt = scheduler.now();
  while (scheduler.now() < END_OF_SESSIONS && !isOver()) {
    if (scheduler.now() >= nextProbeAt) {
      nextProbeAt += PROBE_MILLISECONDS;
      probes += 1;
      for (let place = 0; place < PROXIES; place += 1) {
        if (!writing.has(place)) probe(place, 'write', writing, probes);
        if (!reading.has(place)) probe(place, 'read', reading, probes);
      }
    }
    scheduler.runUntil(scheduler.now() + STEP_MILLISECONDS);
    if (writing.size === PROXIES) writesResumedAfter ??= scheduler.now() - HEALED_AT;
  }
  if (writing.size < PROXIES) {
    oracle.report('writesStopped', `proxies ${[...writing].join(' ')} of ${PROXIES} write again`);
  }
  if (reading.size < PROXIES) {
    oracle.report('readsStopped', `proxies ${[...reading].join(' ')} of ${PROXIES} read again`);
  }
  if (!isConverged()) oracle.report('groupNotConverged', describeGroup(databases));
  const final = databases.find(({ isPrimary }) => isPrimary());
  if (final) oracle.checkFinalLog(final.log());
  return {
    violations: oracle.violations(),
    counts: oracle.counts(),
    trace,
    promotions,
    writesResumedAfter,
    unstruckFaults: waitingFaults.length,
  };
}
