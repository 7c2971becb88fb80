import { join } from 'node:path';
import { createRandom } from '@wisterialift/fuzz';
import type { Random } from '@wisterialift/fuzz';
import { describe, expect, it } from 'vitest';
import { readExperiment, runExperiment } from '../index';
import type { Experiment, ExperimentResult, PlannedFault } from '../index';

const experiment = readExperiment(join('experiments', 'stale-without-primary.toml'));

/** Seeds that CI plays; a longer run by hand sets the variable. */
const SEEDS = Number(process.env.WISTERIALIFT_WORLD_SEEDS ?? 4);

/** Milliseconds from one instant that is played to the next; a run by hand sets 100 to 250. */
const STEP_MILLISECONDS = Number(process.env.WISTERIALIFT_WORLD_STEP ?? 2_000);

/** Broken promises that a failed test prints. */
const SHOWN = 3;

type Broken = ExperimentResult['broken'][number];

const READS: readonly Broken['promise'][] = ['stale', 'ownWrite'];
const WRITES: readonly Broken['promise'][] = ['rolledBack', 'lost', 'replaced'];

/** Times of the incident in seconds. */
interface Incident {
  /** When the primary that left and stays as a replica ends. */
  endsAt: number;
  /** When its successor crashes, and when that is back under a new id. */
  crashesAt: number;
  returnsAt: number;
  /** When the third member begins to receive nothing. */
  deafAt: number;
}

const INCIDENT: Incident = { endsAt: 12, crashesAt: 6, returnsAt: 13, deafAt: 5 };

const LEAVES_AT = 2;
const DEAF_UNTIL = 14;

function planFaults(
  times: Partial<Incident> = {},
  others: readonly PlannedFault[] = [],
): PlannedFault[] {
  const { endsAt, crashesAt, returnsAt, deafAt } = { ...INCIDENT, ...times };
  const leaveSeconds = endsAt - LEAVES_AT;
  return [
    { kind: 'leave', at: LEAVES_AT, seconds: leaveSeconds, role: 'primary', isFinal: true },
    { kind: 'deafReplicas', at: deafAt, seconds: DEAF_UNTIL - deafAt, replicas: 1 },
    { kind: 'darkPrimary', at: crashesAt, seconds: returnsAt - crashesAt, isRenamed: true },
    ...others,
  ];
}

/** A play that was begun is shared by the tests that look at it. */
function playOnce(play: () => Promise<Broken[]>): () => Promise<Broken[]> {
  let played: Promise<Broken[]> | undefined;
  return () => {
    played ??= play();
    return played;
  };
}

async function playFaults(faults: PlannedFault[], seed: number): Promise<Broken[]> {
  const played: Experiment = { ...experiment, faults };
  const { broken } = await runExperiment(played, { seed });
  return broken;
}

/** Plays the plan of each instant from one to another, in seconds. */
async function playInstants(
  { from, to }: { from: number; to: number },
  plan: (at: number) => PlannedFault[],
): Promise<Broken[]> {
  const broken: Broken[] = [];
  for (let at = from * 1_000; at <= to * 1_000; at += STEP_MILLISECONDS) {
    const found = await playFaults(plan(at / 1_000), 1);
    broken.push(
      ...found.map(({ detail, ...rest }) => ({ ...rest, detail: `${at} ms: ${detail}` })),
    );
  }
  return broken;
}

const CASES: Record<string, () => Promise<Broken[]>> = {
  'as it was seen': () => playFaults(planFaults(), 1),
  'at any end of the member that leaves': () =>
    playInstants({ from: 6, to: 13 }, (endsAt) => planFaults({ endsAt })),
  'at any crash of the new primary': () =>
    playInstants({ from: 5.5, to: 9.5 }, (crashesAt) => planFaults({ crashesAt })),
  'with directories that are late from any moment on': () =>
    playInstants({ from: 1, to: 12 }, (at) => {
      const late = { seconds: 4, milliseconds: 3_000, instances: 2 };
      return planFaults({}, [{ kind: 'lateDirectory', at, ...late }]);
    }),
  'with a loss of all instances at any moment': () =>
    playInstants({ from: 5.5, to: 12.5 }, (at) =>
      planFaults({}, [{ kind: 'powerOffAll', at, seconds: 0.5 }]),
    ),
};

/** What comes beside the incident, drawn for a time in seconds. */
const OTHERS: ((at: number, random: Random) => PlannedFault)[] = [
  (at, random) => ({ kind: 'powerOffAll', at, seconds: random.between(3, 20) / 10 }),
  (at) => ({ kind: 'killAll', at }),
  (at, random) => ({ kind: 'killInstance', at, count: random.between(1, 2) }),
  (at, random) => ({
    kind: 'lateDirectory',
    at,
    seconds: random.between(2, 8),
    milliseconds: random.between(500, 5_000),
    instances: random.between(1, 3),
  }),
  (at, random) => ({
    kind: 'storeCut',
    at,
    seconds: random.between(2, 10),
    instances: random.between(1, 2),
  }),
  (at, random) => ({ kind: 'storeDown', at, seconds: random.between(1, 5) }),
  (at, random) => ({
    kind: 'lapse',
    at,
    seconds: random.between(4, 8),
    role: random.pick(['primary', 'replica'] as const),
  }),
  (at, random) => ({ kind: 'lostAnswers', at, seconds: random.between(1, 4), share: 0.2 }),
];

/** Draws every instant on a grid of 100 ms. */
function drawFaults(random: Random): PlannedFault[] {
  const tenths = (from: number, to: number) => random.between(from * 10, to * 10) / 10;
  const crashesAt = tenths(4, 9);
  const times = {
    endsAt: tenths(6, 13),
    crashesAt,
    returnsAt: tenths(crashesAt + 1, 14),
    deafAt: tenths(1, 7),
  };
  const others = Array.from({ length: random.between(0, 2) }, () =>
    random.pick(OTHERS)(tenths(1, 13), random),
  );
  return planFaults(times, others);
}

for (let seed = 1; seed <= SEEDS; seed += 1) {
  CASES[`drawn with seed ${seed}`] = async () => {
    const faults = drawFaults(createRandom(seed));
    const broken = await playFaults(faults, seed);
    const plan = JSON.stringify(faults);
    // Nobody tells an instance that is cut off from the store that a member leaves.
    const brokenInTouch = broken.filter(({ promise }) => promise !== 'leaving');
    return brokenInTouch.map(({ detail, ...rest }) => ({ ...rest, detail: `${detail} (${plan})` }));
  };
}

describe.each(Object.entries(CASES).map(([name, play]) => [name, playOnce(play)] as const))(
  'a replica that leaves and alone holds commits of a lost primary, %s,',
  (_, play) => {
    const findBroken = async (isLookedFor: (promise: Broken['promise']) => boolean) =>
      (await play()).filter(({ promise }) => isLookedFor(promise)).slice(0, SHOWN);

    it('is missed by no read after its end', async () => {
      // Guards against a read position from a replica that lacks acknowledged commits.
      expect(await findBroken((promise) => READS.includes(promise))).toEqual([]);
    });

    it('takes no acknowledged write with it', async () => {
      // Guards against a promotion of a replica that lacks acknowledged commits.
      expect(await findBroken((promise) => WRITES.includes(promise))).toEqual([]);
    });

    it('breaks no other promise', async () => {
      // Guards against writes that return after their caller was told that nothing is kept.
      const isOther = (promise: Broken['promise']) =>
        !READS.includes(promise) && !WRITES.includes(promise);
      expect(await findBroken(isOther)).toEqual([]);
    });
  },
);
