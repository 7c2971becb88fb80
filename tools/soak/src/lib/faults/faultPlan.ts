import { createRandom } from '@wisterialift/fuzz';
import type { Random } from '@wisterialift/fuzz';
import { FAULT_NAMES } from './faultHandlers';
import type { FaultName } from './faultHandlers';
import type { FaultStrike } from './faultStrike';

/** One fault of a run; times in milliseconds. */
export interface PlannedFault extends FaultStrike {
  name: FaultName;
  /** From the start of the load. */
  at: number;
}

/** What a seed makes of a run. */
export interface FaultPlan {
  seed: number;
  maximumConnections: number;
  faults: PlannedFault[];
}

/** Pause between faults at the most; they last up to three seconds, so most overlap. */
const LONGEST_PAUSE_MILLISECONDS = 1_500;
const DURATION_MILLISECONDS = { shortest: 200, longest: 3_000 };

/** A fault that strikes again at once is a series, as of signals to one process after the other. */
const SERIES_CHANCE = 0.3;

/** Connections that a database takes: enough for every instance, or so few that one holds them. */
const CONNECTION_LIMITS = [30, 5];

/** Faults that are not drawn; a plan that has them draws its other faults as before. */
const PLANNED_ONLY: ReadonlySet<FaultName> = new Set(['databasesLeave', 'oddEntry']);

const DRAWN = FAULT_NAMES.filter((name) => !PLANNED_ONLY.has(name));

const MOST_ODD_ENTRIES = 8;

/** Time for which databases leave: beyond the bound for new statements. */
const LEAVING_MILLISECONDS = 9_500;

/** Faults after which an instance cannot know in time that a database leaves, or reach it. */
const HIDING_FAULT = /^(store|instancePaused|database(Silent|Deaf|Mute|Far))/;

/** A plan in which all databases leave at the same time, without faults that hide it. */
export function createLeavingPlan(seed: number, length: number): FaultPlan {
  const plan = createFaultPlan(seed, length);
  const at = createRandom(seed).between(500, length);
  const others = plan.faults.filter(
    ({ name }) => !HIDING_FAULT.test(name) && name !== 'primaryLeaves',
  );
  const leaving = {
    name: 'databasesLeave',
    at,
    duration: LEAVING_MILLISECONDS,
    target: 0,
  } as const;
  return { ...plan, faults: [...others, leaving] };
}

/** @param length - of the load, in milliseconds. */
export function createFaultPlan(seed: number, length: number): FaultPlan {
  const random = createRandom(seed);
  const faults: PlannedFault[] = [];
  let at = 500;
  while (at < length) {
    const fault = drawFault(random, at);
    faults.push(fault);
    while (random.chance(SERIES_CHANCE)) {
      at += random.between(0, 300);
      faults.push({ ...fault, at, target: random.between(0, 99) });
    }
    at += random.between(0, LONGEST_PAUSE_MILLISECONDS);
  }
  const maximumConnections = random.pick(CONNECTION_LIMITS);
  return { seed, maximumConnections, faults: [...faults, ...drawOddEntries(seed, length)] };
}

/** Entries of another writer, from a source of their own. */
function drawOddEntries(seed: number, length: number): PlannedFault[] {
  const random = createRandom(-seed);
  const { shortest, longest } = DURATION_MILLISECONDS;
  return Array.from({ length: random.between(1, MOST_ODD_ENTRIES) }, () => ({
    name: 'oddEntry',
    at: random.between(0, length),
    duration: random.between(shortest, longest),
    target: random.between(0, 999),
  }));
}

function drawFault(random: Random, at: number): PlannedFault {
  const { shortest, longest } = DURATION_MILLISECONDS;
  return {
    name: random.pick(DRAWN),
    at,
    duration: random.between(shortest, longest),
    target: random.between(0, 99),
  };
}
