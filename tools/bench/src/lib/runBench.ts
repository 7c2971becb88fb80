import { startTrial } from './cluster/startTrial';
import type { Trial } from './cluster/startTrial';
import type { TrialOptions } from './cluster/trialOptions';
import { createOracle } from './load/createOracle';
import type { Oracle } from './load/createOracle';
import { pause } from './load/timings';
import { measureFailover } from './phases/measureFailover';
import type { PrimaryFault } from './phases/measureFailover';
import { measureFalsePromotions } from './phases/measureFalsePromotions';
import { measureLatency } from './phases/measureLatency';
import { measureOverload } from './phases/measureOverload';
import { measureReplicaReads } from './phases/measureReplicaReads';
import { measureThroughput } from './phases/measureThroughput';
import { warmUp } from './phases/warmUp';
import type { BenchResult } from './report/benchResult';

/** Lengths of the phases, in milliseconds where not said otherwise. */
export interface BenchPlan {
  warmUp: number;
  latency: number;
  throughput: number;
  reads: number;
  overload: number;
  falsePromotions: number;
  failoverRounds: number;
  /** Longest time in which failover rounds begin. */
  failover: number;
  /** Time from the start of the run after which no failover round begins. */
  failoverUntil: number;
  /** Time from the start of the run after which no phase begins, so that it ends in time. */
  total: number;
  faults: PrimaryFault[];
}

/** Ends within 50 s. */
export const QUICK_PLAN: BenchPlan = {
  warmUp: 2_500,
  latency: 2_400,
  throughput: 4_200,
  reads: 2_700,
  overload: 4_000,
  falsePromotions: 0,
  failoverRounds: 20,
  failover: 9_000,
  failoverUntil: 31_000,
  total: 38_000,
  faults: ['killed', 'frozen', 'cutFromGroup'],
};

/** The whole measure, for each user about two minutes. */
export const FULL_PLAN: BenchPlan = {
  warmUp: 5_000,
  latency: 9_000,
  throughput: 15_000,
  reads: 10_000,
  overload: 20_000,
  falsePromotions: 20_000,
  failoverRounds: 12,
  failover: 45_000,
  failoverUntil: Infinity,
  total: Infinity,
  faults: ['killed', 'frozen', 'cutFromGroup'],
};

/** How one run is made. */
export interface BenchOptions {
  title: string;
  trial: TrialOptions;
  plan: BenchPlan;
  /** Told what begins, for people who wait. */
  onPhase: (phase: string) => void;
}

/** Replication lag of the replica that is far behind. */
const FAR_BEHIND_MILLISECONDS = 5_000;
const READING_SESSIONS = 12;
const READS_PER_WRITE = 15;
/** Time of a statement in its slot where slots are what is scarce. */
const THROUGHPUT_SERVICE_MILLISECONDS = 6;
const OVERLOAD_SERVICE_MILLISECONDS = 25;
/** Proxies learn of the groups and their members after they listen. */
const SETTLE_MILLISECONDS = 1_000;

/** Starts a trial, runs every phase and ends the trial. */
export async function runBench(options: BenchOptions): Promise<BenchResult> {
  const { title, plan, onPhase } = options;
  const oracle = createOracle();
  const result: BenchResult = {
    title,
    violations: oracle.violations(),
    outcomes: {},
    failures: [],
  };
  const startedAt = performance.now();
  onPhase('start');
  const trial = await startTrial(options.trial);
  try {
    await pause(SETTLE_MILLISECONDS);
    await runPhases({ trial, plan, oracle, result, startedAt, onPhase });
    await checkGroups(trial, oracle, result);
  } finally {
    await trial.stop();
  }
  if (plan.falsePromotions > 0 && options.trial.links) {
    onPhase('false promotions');
    result.falsePromotions = await measureFalsePromotions(options.trial, plan.falsePromotions);
  }
  result.violations = oracle.violations();
  result.outcomes = oracle.outcomes();
  return result;
}

interface PhaseOptions {
  trial: Trial;
  plan: BenchPlan;
  oracle: Oracle;
  result: BenchResult;
  startedAt: number;
  onPhase: (phase: string) => void;
}

async function runPhases(options: PhaseOptions): Promise<void> {
  const { trial, plan, oracle, result, startedAt, onPhase } = options;
  const [first, second = first, third = first] = trial.options.groups as [string, ...string[]];

  /** A phase that fails is named in the result; the others still run. */
  async function runPhase(name: string, run: () => Promise<void>): Promise<void> {
    if (performance.now() > startedAt + plan.total) {
      result.failures.push(`${name}: no time left`);
      return;
    }
    onPhase(name);
    try {
      await run();
    } catch (error) {
      result.failures.push(`${name}: ${error instanceof Error ? error.message : String(error)}`);
    }
  }

  await runPhase('warm-up', () => warmUp(trial, plan.warmUp));
  await runPhase('latency', async () => {
    // The second group has a replica in the data centre of the first proxy; the first its primary.
    result.latency = await measureLatency(trial, {
      group: second,
      milliseconds: plan.latency,
      oracle,
    });
  });
  await runPhase('throughput', async () => {
    result.throughput = await measureThroughput(trial, {
      group: first,
      milliseconds: plan.throughput,
      serviceMilliseconds: THROUGHPUT_SERVICE_MILLISECONDS,
    });
  });
  const reads = {
    group: second,
    milliseconds: plan.reads,
    sessions: READING_SESSIONS,
    readsPerWrite: READS_PER_WRITE,
    oracle,
  };
  await runPhase('replica reads', async () => {
    result.reads = await measureReplicaReads(trial, { ...reads, run: 'reads' });
  });
  await runPhase('replica reads under lag', async () => {
    const replica = trial.databasesOf(second).at(-1);
    await replica?.changeFaults({ replicationLagMilliseconds: FAR_BEHIND_MILLISECONDS });
    result.readsUnderLag = await measureReplicaReads(trial, { ...reads, run: 'lagged' });
    await replica?.changeFaults({ replicationLagMilliseconds: 0 });
  });
  await runPhase('failover', async () => {
    const startNoneAfter = Math.min(
      performance.now() + plan.failover,
      startedAt + plan.failoverUntil,
    );
    result.failover = await measureFailover(trial, {
      groups: trial.options.groups,
      faults: plan.faults,
      rounds: plan.failoverRounds,
      startNoneAfter,
      oracle,
    });
  });
  await runPhase('overload', async () => {
    result.overload = await measureOverload(trial, {
      group: third,
      milliseconds: plan.overload,
      serviceMilliseconds: OVERLOAD_SERVICE_MILLISECONDS,
    });
  });
}

async function checkGroups(trial: Trial, oracle: Oracle, result: BenchResult): Promise<void> {
  await Promise.all(
    trial.options.groups.map(async (group) => {
      const primary = await trial.findPrimary(group);
      if (primary) await oracle.checkGroup(group, primary);
      else result.failures.push(`check: group ${group} has no primary`);
    }),
  );
}
