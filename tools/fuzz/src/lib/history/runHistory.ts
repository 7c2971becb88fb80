import type { OracleCounts, Violation } from '../oracle/oracle';
import { createScheduler } from '../simulation/scheduler';
import { createCluster } from './cluster';
import { createFaultInjector, type FaultInjector } from './faultInjector';
import { FAULT_WINDOW_MILLISECONDS, type HistoryPlan } from './historyPlan';
import { awaitRecovery } from './recovery';
import { startSession } from './sessions';
import type { Step } from './step';
import { createStepFaults, type StepFault } from './stepFaults';

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
  /** When writes were acknowledged, in milliseconds from the start. */
  acknowledgedAt: number[];
  /** Faults of steps that were never reached. */
  unstruckFaults: number;
}

/** @public */
export interface HistoryOptions {
  plan: HistoryPlan;
  stepFaults?: StepFault[];
  /** Longest time for which a leaving database may get new writes; without it none is checked. */
  leavingBoundMilliseconds?: number;
}

/** When the first fault may strike, in milliseconds from the start. @public */
export const FAULTS_FROM = 500;
/** When every fault ends. @public */
export const HEALED_AT = FAULTS_FROM + FAULT_WINDOW_MILLISECONDS + 500;
const SETTLED_AT = HEALED_AT + 1_000;
/** Sessions end early enough for their last requests to be answered. */
const END_OF_SESSIONS = HEALED_AT + 2_000;
const END = HEALED_AT + 6_000;
const MAXIMUM_TRACE = 4_000;

/**
 * Runs one history: three proxies, three databases, sessions and faults; then everything heals, and
 * what the sessions were told is compared with the log that the group ends with.
 *
 * @public
 */
export function runHistory(options: HistoryOptions): HistoryResult {
  const { plan, leavingBoundMilliseconds = Infinity } = options;
  const stepFaults = createStepFaults(options.stepFaults ?? []);
  const scheduler = createScheduler();
  const trace: string[] = [];
  let injector: FaultInjector | undefined;

  const onStep = (step: Step, member: string, proxy: string) => {
    const fault = stepFaults.take(step, scheduler.now());
    // The fault strikes right after the step, not inside of it.
    if (fault) scheduler.after(0, () => injector?.strikeAt(fault, member, proxy));
  };

  const write = (text: string) => {
    if (trace.length < MAXIMUM_TRACE) trace.push(`${Math.round(scheduler.now())} ${text}`);
  };

  const cluster = createCluster({
    plan,
    scheduler,
    leavingBoundMilliseconds,
    onStep,
    trace: write,
  });
  const { oracle, databases, proxies } = cluster;
  injector = createFaultInjector({
    ...cluster,
    trace: write,
    onStep: (step, proxy) => onStep(step, '', proxy),
  });

  plan.sessions.forEach((session, index) =>
    startSession({
      ...cluster,
      name: `s${index}`,
      plan: session,
      deadlineMilliseconds: plan.deadlineMilliseconds,
      stalenessMilliseconds: plan.stalenessMilliseconds,
      until: END_OF_SESSIONS,
      findProxy: (place) => proxies[place]!,
    }),
  );
  plan.faults.forEach((fault) =>
    scheduler.at(FAULTS_FROM + fault.at, () => injector?.strike(fault)),
  );
  scheduler.runUntil(HEALED_AT);
  write('everything heals');
  injector.heal();
  const writesResumedAfter = awaitRecovery({ cluster, settledAt: SETTLED_AT, latestAt: END });

  const final = databases.find(({ isPrimary }) => isPrimary());
  if (final) oracle.checkFinalLog(final.log());
  return {
    violations: oracle.violations(),
    counts: oracle.counts(),
    trace,
    promotions: cluster.promotions(),
    writesResumedAfter,
    acknowledgedAt: oracle.acknowledgedAt(),
    unstruckFaults: stepFaults.remaining(),
  };
}
