import { monitorEventLoopDelay } from 'node:perf_hooks';
import { setTimeout as pause } from 'node:timers/promises';
import { createRandom } from '@wisterialift/fuzz';
import { DATABASES, connectLineCaller } from '@wisterialift/stand-in-line-platform';
import { checkLeaving } from './checks/checkLeaving';
import { checkTeams } from './checks/checkTeams';
import { checkLog } from './checks/checkLog';
import { checkStatements } from './checks/checkStatements';
import { injectFaults } from './faults/injectFaults';
import { createFaultPlan, createLeavingPlan } from './faults/faultPlan';
import type { FaultPlan } from './faults/faultPlan';
import { createHistory } from './load/history';
import type { Violation } from './load/history';
import { SOAK_TEAMS } from './load/soakTeams';
import { runSoakCaller } from './load/soakCaller';
import { startWorld } from './world/startWorld';
import type { World } from './world/startWorld';

export interface SoakOptions {
  seed: number;
  /** Length of the load, in milliseconds; the last faults may end after it. */
  length: number;
  instances: number;
  /** Whether all databases leave at some time of the run. */
  isLeaving?: boolean;
  /** How long service may take to come back after the last fault, in milliseconds. */
  recovery: number;
}

/** What one run brought. */
export interface SoakResult {
  plan: FaultPlan;
  violations: Violation[];
  acknowledged: number;
  unknown: number;
  reads: number;
  promotions: number;
  /** Answers other than success, by their code. */
  refusals: Record<string, number>;
  /** The instances' logs, for a run that failed. */
  lines: readonly string[];
}

const NANOSECONDS_PER_MILLISECOND = 1e6;

/** Callers of each kind of route; more instances of the same would only repeat them. */
const CALLERS_OF_KIND = 4;

/** Runs the programs under the faults of a seed, and checks what callers and databases saw. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, length, instances, isLeaving = false } = options;
  const plan = isLeaving ? createLeavingPlan(seed, length) : createFaultPlan(seed, length);
  const world = await startWorld({ instances, maximumConnections: plan.maximumConnections });
  try {
    return await play(world, plan, options);
  } finally {
    await world.close();
  }
}

async function play(world: World, plan: FaultPlan, options: SoakOptions): Promise<SoakResult> {
  const history = createHistory();
  const stalls = monitorEventLoopDelay();
  stalls.enable();
  await waitForService(world, options.recovery);
  let isOver = false;
  const items: string[] = [];
  const callers = Object.values(DATABASES).flatMap((database, kind) =>
    Array.from({ length: CALLERS_OF_KIND }, (_, index) =>
      runSoakCaller({
        world,
        history,
        random: createRandom(plan.seed * 1_000 + kind * 100 + index),
        textRandom: createRandom(-plan.seed * 1_000 - kind * 100 - index),
        name: `${database}${index}`,
        database,
        items,
        isOver: () => isOver,
      }),
    ),
  );
  await Promise.all([injectFaults(world, plan.faults), pause(options.length)]);
  isOver = true;
  const isServing = await waitForService(world, options.recovery);
  // A caller that waits in a session which no fault ended would wait for ever.
  for (const instance of world.instances) instance.callers.resetAll();
  await Promise.all(callers);
  const violations = [
    ...history.violations,
    ...checkLog(world, history),
    ...checkTeams(world),
    ...checkStatements(world),
    ...checkLeaving(world, stalls.max / NANOSECONDS_PER_MILLISECOND),
  ];
  for (const instance of world.instances) {
    for (const detail of instance.failures()) {
      violations.push({ promise: 'no instance ends by itself', detail });
    }
  }
  if (!isServing) {
    violations.push({ promise: 'service comes back', detail: `not in ${options.recovery} ms` });
  }
  return {
    plan,
    violations,
    acknowledged: history.attempts.filter(({ outcome }) => outcome === 'acknowledged').length,
    unknown: history.attempts.filter(({ outcome }) => outcome === 'unknown').length,
    reads: history.reads,
    promotions: world.duty.calls.length,
    refusals: Object.fromEntries(history.refusals),
    lines: world.lines(),
  };
}

/** Whether every instance serves a write and a read of each kind in time. */
async function waitForService(world: World, milliseconds: number): Promise<boolean> {
  const until = performance.now() + milliseconds;
  const served = await Promise.all(
    world.instances.map(async ({ callers: { port } }) => {
      while (performance.now() < until) {
        if (await isServed(world, port)) return true;
        await pause(100);
      }
      return false;
    }),
  );
  return served.every(Boolean);
}

async function isServed({ record }: World, port: number): Promise<boolean> {
  try {
    const [key] = SOAK_TEAMS[0].keys;
    for (const database of Object.values(DATABASES)) {
      const caller = await connectLineCaller({ port, database, prefix: 'check.', key, record });
      const texts = database === DATABASES.aged ? ['READ first'] : ['WRITE check 1', 'READ check'];
      for (const text of texts) {
        if (!(await caller.query(text)).end.startsWith('COMPLETE')) return false;
      }
      caller.leave();
    }
    return true;
  } catch {
    // The instance is not there yet; the caller of this asks again until its time is over.
    return false;
  }
}
