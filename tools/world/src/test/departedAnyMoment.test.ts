import { join } from 'node:path';
import { createRandom } from '@wisterialift/fuzz';
import type { Random } from '@wisterialift/fuzz';
import { describe, expect, it } from 'vitest';
import { readExperiment, runExperiment } from '../index';
import type { Experiment, ExperimentResult, PlannedFault, RequestKind } from '../index';

const experiment = readExperiment(join('experiments', 'departed-member.toml'));

/** Seeds that CI plays; a longer run by hand sets the variable. */
const SEEDS = Number(process.env.WISTERIALIFT_WORLD_SEEDS ?? 6);

/** Milliseconds from one instant that is played to the next; a run by hand sets 100 to 250. */
const STEP_MILLISECONDS = Number(process.env.WISTERIALIFT_WORLD_STEP ?? 2_000);

/** Seeds whose plays lost writes before promotions awaited departed members. */
const FORMERLY_BROKEN_SEEDS = [21, 46, 51, 56];

const SHOWN = 3;

type Broken = ExperimentResult['broken'][number];

/** An instance that the store does not reach is not told that a member leaves. */
const isPromisedOutOfTouch = ({ promise }: Broken) => promise !== 'leaving';

interface Deployment {
  members: number;
  synchronousReplicas: number;
}

const THREE: Deployment = { members: 3, synchronousReplicas: 1 };

interface PlayOptions {
  seed?: number;
  seconds?: number;
  deployment?: Deployment;
}

async function playFaults(
  faults: PlannedFault[],
  { seed = 1, seconds = experiment.seconds, deployment = THREE }: PlayOptions = {},
): Promise<Broken[]> {
  const played: Experiment = {
    ...experiment,
    seconds,
    deployment: { ...experiment.deployment, ...deployment },
    faults,
  };
  const { broken } = await runExperiment(played, { seed });
  return broken.filter(isPromisedOutOfTouch);
}

/** Plays the plan of each instant from one to another, in seconds. */
async function playInstants(
  { from, to, ...options }: { from: number; to: number; deployment?: Deployment },
  plan: (at: number) => PlannedFault[],
): Promise<Broken[]> {
  const broken: Broken[] = [];
  for (let at = from * 1_000; at <= to * 1_000; at += STEP_MILLISECONDS) {
    broken.push(...(await playFaults(plan(at / 1_000), options)).slice(0, SHOWN));
  }
  return broken;
}

/** The regions of the platform and of a replica lose each other. */
const REGIONS_APART: Extract<PlannedFault, { kind: 'partition' }> = {
  kind: 'partition',
  at: 2,
  seconds: 12,
  left: ['sesto'],
  right: ['modena'],
};

const DARK_REPLICA: PlannedFault = {
  kind: 'partition',
  at: 2,
  seconds: 5,
  left: ['group-1-db-3'],
  right: [],
};

const leaveAt = (at: number): PlannedFault => ({
  kind: 'leave',
  at,
  seconds: 8,
  role: 'primary',
});

describe.each<[string, Deployment]>([
  ['a synchronous replica', THREE],
  ['asynchronous replicas', { ...THREE, synchronousReplicas: 0 }],
  ['four members', { ...THREE, members: 4 }],
  ['two members', { ...THREE, members: 2 }],
])('a primary that leaves in a group with %s', (_, deployment) => {
  it('has a successor with all commits while a replica that lapsed still runs', async () => {
    // Guards against commits that the replica confirms for an instance which still lists it.
    const plan = (at: number) => [REGIONS_APART, leaveAt(at)];
    expect(await playInstants({ from: 2.5, to: 14.5, deployment }, plan)).toEqual([]);
  });

  it('has one while a replica that lapsed comes back', async () => {
    // Guards against commits that the replica confirms by its former entry.
    const plan = (at: number) => [DARK_REPLICA, leaveAt(at)];
    expect(await playInstants({ from: 2, to: 9, deployment }, plan)).toEqual([]);
  });
});

describe('a primary that leaves after a replica was away', () => {
  it('has that one as a successor with all commits of an instance that does not know of its return', async () => {
    // Guards against commits held by all members that an old directory lists.
    const faults = (at: number): PlannedFault[] => [
      { kind: 'lapse', at: 1, seconds: 14, role: 'replica' },
      { ...REGIONS_APART, at: 12, seconds: 18, left: ['sesto', 'mestre-1'] },
      leaveAt(at),
    ];
    expect(await playInstants({ from: 17, to: 23 }, faults)).toEqual([]);
  });
});

describe('a primary that is replaced while other regions go on reaching it', () => {
  /** Plays a loss of the platform's region; returns the stale reads of kinds with this promise. */
  async function findStaleReads(consistency: RequestKind['consistency']): Promise<Broken[]> {
    const names = experiment.kinds
      .filter((kind) => kind.consistency === consistency)
      .map(({ name }) => name);
    const faults: PlannedFault[] = [{ ...REGIONS_APART, seconds: 36, right: [] }];
    const deployment = { ...THREE, synchronousReplicas: 0 };
    const broken = await playFaults(faults, { seconds: 40, deployment });
    return broken
      .filter(({ promise }) => promise === 'stale')
      .filter(({ detail }) => names.some((name) => detail.includes(` of ${name} read `)))
      .slice(0, SHOWN);
  }

  it('is not read there without later commits', async () => {
    // Guards against reads that a replica of the former term confirms by a directory of any age.
    expect(await findStaleReads('primary')).toEqual([]);
  });

  it('does not tell positions there for reads of a stated age', async () => {
    // Guards against reads of a replica of the former term by a directory of any age.
    expect(await findStaleReads('boundedStaleness')).toEqual([]);
  });
});

/** Faults of a time in seconds that change what instances list, or whom they reach. */
const DRAWS: ((at: number, random: Random) => PlannedFault)[] = [
  (at, random) => ({
    kind: 'lapse',
    at,
    seconds: random.between(3, 9),
    role: random.pick(['primary', 'replica'] as const),
  }),
  (at, random) => ({
    kind: 'storeCut',
    at,
    seconds: random.between(2, 12),
    instances: random.between(1, 2),
  }),
  (at, random) => ({
    kind: 'lateDirectory',
    at,
    seconds: random.between(2, 8),
    milliseconds: random.between(500, 5_000),
    instances: random.between(1, 3),
  }),
  (at, random) => ({ kind: 'storeDown', at, seconds: random.between(1, 5) }),
  (at) => ({ kind: 'killAll', at }),
  (at, random) => ({ kind: 'killInstance', at, count: random.between(1, 2) }),
  (at) => ({ kind: 'restartEmpty', at, member: 1 }),
];

/** How the primary goes, drawn for a time in seconds. */
const LOSSES: ((at: number, random: Random) => PlannedFault)[] = [
  leaveAt,
  leaveAt,
  (at, random) => ({ kind: 'darkPrimary', at, seconds: random.between(3, 9) }),
];

/** Draws every instant on a grid of 100 ms. */
function drawFaults(random: Random): PlannedFault[] {
  const tenths = (from: number, to: number) => random.between(from * 10, to * 10) / 10;
  const [left, right] = random.pick<[string[], string[]]>([
    [['sesto'], ['modena']],
    [['sesto'], ['mestre']],
    [['modena'], []],
    [['group-1-db-2'], []],
    [['group-1-db-3'], []],
  ]);
  const partition: PlannedFault = {
    kind: 'partition',
    at: tenths(1, 6),
    seconds: tenths(2, 14),
    left,
    right,
  };
  const others = Array.from({ length: random.between(0, 2) }, () =>
    random.pick(DRAWS)(tenths(1, 14), random),
  );
  return [partition, random.pick(LOSSES)(tenths(2, 14), random), ...others];
}

describe('a member that departs at any moment', () => {
  const drawnSeeds = Array.from({ length: SEEDS }, (_, index) => index + 1);

  it.each([...new Set([...drawnSeeds, ...FORMERLY_BROKEN_SEEDS])])(
    'loses no acknowledged write beside other faults (seed %i)',
    async (seed) => {
      // Guards against orders of events that no planned case has.
      const random = createRandom(seed);
      const faults = drawFaults(random);
      const deployment = {
        members: random.between(2, 4),
        synchronousReplicas: random.between(0, 1),
      };
      const broken = await playFaults(faults, { seed, deployment });
      expect(broken.slice(0, SHOWN), JSON.stringify({ deployment, faults })).toEqual([]);
    },
  );
});
