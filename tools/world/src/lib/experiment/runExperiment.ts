import type { Mechanism } from '@wisterialift/gateway';
import type { Logger, LogFields } from '@wisterialift/telemetry';
import { createBalancer } from '../callers/balancer';
import { startLoad } from '../callers/load';
import type { Outcome } from '../callers/load';
import { createOracle } from '../callers/oracle';
import type { BrokenPromise } from '../callers/oracle';
import { scheduleFaults } from '../faults/faultHandlers';
import { createSimulatedClock, runWorldUntil } from '../simulation/simulatedClock';
import { buildWorld } from './buildWorld';
import type { World } from './buildWorld';
import { sampleDatabases } from './databaseSample';
import type { DatabaseSample } from './databaseSample';
import type { Experiment } from './experimentSchema';
import { computeFigures } from './figures';
import type { CallerFigures } from './figures';
import { addUpSystem, isBesideIdle } from './systemFigures';
import type { SystemFigures, WorldCounts } from './systemFigures';

/** A log line of an instance with its simulated time. @public */
export interface WorldLogLine {
  at: number;
  event: string;
  fields: LogFields;
}

/** What one run of an experiment showed. @public */
export interface ExperimentResult {
  seed: number;
  callers: CallerFigures;
  /** What it cost and what the instances decided. */
  system: SystemFigures;
  /** The databases over time. */
  samples: DatabaseSample[];
  broken: BrokenPromise[];
}

/** @public */
export interface RunOptions {
  seed: number;
  /** Mechanisms that the instances do without. */
  without?: readonly Mechanism[];
  onLog?: (line: WorldLogLine) => void;
}

const SAMPLE_MILLISECONDS = 250;

/** Time of the start before callers come. */
const LEAD_MILLISECONDS = 3_000;

/** Time after the last operation in which all of them end. */
const CLOSING_MILLISECONDS = 20_000;

/** Plays one experiment with one seed; the same seed gives the same result. @public */
export async function runExperiment(
  experiment: Experiment,
  options: RunOptions,
): Promise<ExperimentResult> {
  const { seed, without = [], onLog } = options;
  const counts: WorldCounts = {
    opened: 0,
    exhausted: 0,
    statements: 0,
    refusedBesideIdleSlot: 0,
    ejections: 0,
    repeatedReads: 0,
  };
  const world = buildWorld(experiment, {
    seed,
    without,
    createLogger: (databases, { scheduler }) =>
      createWorldLogger((event, fields) => {
        if (event === 'connectionPlacesExhausted') counts.exhausted += 1;
        if (event === 'memberEjected') counts.ejections += 1;
        if (event === 'failedReadRepeated') counts.repeatedReads += 1;
        const isRefusal = event === 'statementRefused';
        if (isRefusal && isBesideIdle(fields, databases)) counts.refusedBesideIdleSlot += 1;
        onLog?.({ at: scheduler.now(), event, fields });
      }),
    onConnectionOpened: () => {
      counts.opened += 1;
    },
  });
  const { scheduler } = world.simulation;
  for (const instance of world.instances) instance.start();
  await runWorldUntil(scheduler, LEAD_MILLISECONDS);
  const { outcomes, samples, oracle } = await startCallers(experiment, world, () => {
    counts.statements += 1;
  });
  const end = LEAD_MILLISECONDS + experiment.seconds * 1_000 + CLOSING_MILLISECONDS;
  await runWorldUntil(scheduler, end);
  oracle.checkLogs();
  oracle.teams.checkWindows();
  const system = addUpSystem(world.instances, counts, world.databases);
  for (const instance of world.instances) instance.losePower();
  const callers = computeFigures(experiment, outcomes);
  return { seed, callers, system, samples, broken: oracle.broken() };
}

/** Has the callers come and the faults strike; the load's clock starts at 0. */
async function startCallers(experiment: Experiment, world: World, onStatement: () => void) {
  const { simulation, groups, databases, platform, instances, teams } = world;
  const { scheduler, random } = simulation;
  const outcomes: Outcome[] = [];
  const samples: DatabaseSample[] = [];
  const oracle = createOracle(scheduler, groups, teams.all);
  const worldClock = createSimulatedClock(scheduler, () => true);
  const clock = { ...worldClock, now: () => worldClock.now() - LEAD_MILLISECONDS };
  const balancer = createBalancer({ instances, clock: worldClock, random });
  await runWorldUntil(scheduler, LEAD_MILLISECONDS + 1);
  startLoad({
    experiment,
    simulation,
    clock,
    balancer,
    oracle,
    groups: [...groups.keys()],
    teams,
    onOutcome: (outcome) => outcomes.push(outcome),
  });
  clock.runEvery(SAMPLE_MILLISECONDS, () => {
    const isOver = clock.now() > experiment.seconds * 1_000;
    if (!isOver) samples.push(sampleDatabases(clock.now(), databases));
  });
  for (const [memberId, database] of databases) {
    if (experiment.load.drawsTexts) database.onRun(oracle.statements.checkRun);
    database.onStatement((arrival) => {
      onStatement();
      oracle.teams.checkStatement(arrival);
      const { isFirst, statementId: id } = arrival;
      if (isFirst) oracle.checkNewWork({ memberId, id, leavingAt: platform.leavingAt(memberId) });
    });
  }
  const { network } = simulation;
  const operator = { teams, oracle: oracle.teams, publish: world.publish };
  const targets = { clock, instances, groups, databases, platform, network, operator };
  scheduleFaults(experiment.faults, targets);
  return { outcomes, samples, oracle };
}

function createWorldLogger(write: (event: string, fields: LogFields) => void): Logger {
  const line = (event: string, fields: LogFields = {}) => write(event, fields);
  return { trace: line, debug: line, info: line, warn: line, error: line };
}
