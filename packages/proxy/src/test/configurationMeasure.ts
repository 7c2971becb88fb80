import { setTimeout as sleep } from 'node:timers/promises';
import type { PeerClient } from '@wisterialift/peer';
import { createFleet, createPatch } from './configurationFleet';
import type { Fleet, FleetOptions, FleetInstanceOptions } from './configurationFleet';

/**
 * Measures the roll-out time of a configuration and the platform calls, and prints each result as
 * one line of JSON. All instances run in this process, over loopback; the back-off of the tasks is
 * shortened, see `createFleet`.
 */

/** Which instances of a fleet watch the platform, and whether they announce changes. */
interface WatchStrategy {
  name: string;
  createInstanceOptions: (index: number) => FleetInstanceOptions;
}

const DATA_CENTRES = ['sesto-dc', 'mestre-dc', 'modena-dc'];
const FLEET_OPTIONS: FleetOptions = { pollMilliseconds: 5_000, watchMilliseconds: 30_000 };
const PATCH_COUNT = 60;
const PATCH_PAUSE_MILLISECONDS = 50;
const FLEET_SIZES = [7, 14, 28, 56];
const COUNT_DURATION_MILLISECONDS = 60_000;
const MAXIMUM_WAIT_MILLISECONDS = 30_000;

const TWO_WATCHERS: WatchStrategy = {
  name: 'two watchers a data centre, announcements',
  createInstanceOptions: (index) => ({
    name: `p${index}`,
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length],
  }),
};

const TWO_WATCHERS_SILENT: WatchStrategy = {
  name: 'two watchers a data centre, questions only',
  createInstanceOptions: (index) => ({
    ...TWO_WATCHERS.createInstanceOptions(index),
    wrapPeers: withoutAnnouncements,
  }),
};

/** A data centre for each instance makes each one a watcher. */
const EVERYONE_WATCHES: WatchStrategy = {
  name: 'every instance watches',
  createInstanceOptions: (index) => ({
    name: `p${index}`,
    dataCentre: `dc-${index}`,
    wrapPeers: withoutAnnouncements,
  }),
};

function withoutAnnouncements(peers: PeerClient): PeerClient {
  return { ...peers, announceConfiguration: async () => 0 };
}

async function startFleet(
  strategy: WatchStrategy,
  size: number,
  onAdopted?: () => void,
): Promise<Fleet> {
  const fleet = await createFleet(FLEET_OPTIONS);
  for (let index = 1; index <= size; index += 1) {
    await fleet.add({ ...strategy.createInstanceOptions(index), onAdopted });
  }
  // Instances that started early get the complete list with their next read.
  await waitUntil(() => fleet.instances.every(({ instances }) => instances().length === size));
  return fleet;
}

async function waitUntil(isDone: () => boolean): Promise<void> {
  const startedAt = performance.now();
  while (!isDone()) {
    if (performance.now() - startedAt > MAXIMUM_WAIT_MILLISECONDS) {
      throw new Error('condition not met within the maximum wait');
    }
    await sleep(1);
  }
}

/** Time from the accepted patch until the last of seven instances has adopted it. */
async function measureRollOut(strategy: WatchStrategy, patches: number): Promise<void> {
  let lastAdoptedAt = 0;
  const fleet = await startFleet(strategy, 7, () => {
    lastAdoptedAt = performance.now();
  });
  const durations: number[] = [];
  for (let number = 0; number < patches; number += 1) {
    const { task } = fleet.instances[number % fleet.instances.length]!;
    const patch = createPatch({ patchId: `patch-${number}`, againstNumber: number });
    const outcome = await task.submitPatch(patch);
    const acceptedAt = performance.now();
    if (outcome.status !== 'accepted') throw new Error(`patch not accepted: ${outcome.status}`);
    await waitUntil(() =>
      fleet.instances.every((instance) => instance.adoptedNumbers.at(-1) === number + 1),
    );
    durations.push(Math.max(0, lastAdoptedAt - acceptedAt));
    await sleep(PATCH_PAUSE_MILLISECONDS);
  }
  await fleet.stop();
  printRow({
    measure: 'rollOutMilliseconds',
    way: strategy.name,
    patches,
    ...summarise(durations),
  });
}

function summarise(values: number[]): Record<string, number> {
  const sorted = [...values].sort((left, right) => left - right);
  const at = (share: number): number =>
    Math.round(sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]! * 10) / 10;
  return { p50: at(0.5), p99: at(0.99), largest: at(1) };
}

/** Platform calls per minute while the configuration does not change. */
async function measureCalls(strategy: WatchStrategy, size: number): Promise<void> {
  const fleet = await startFleet(strategy, size);
  await fleet.instances[0]!.task.submitPatch(createPatch());
  await waitUntil(() => fleet.instances.every(({ task }) => task.current() !== undefined));
  const before = fleet.platform.calls();
  await sleep(COUNT_DURATION_MILLISECONDS);
  const after = fleet.platform.calls();
  await fleet.stop();
  const watches = after.watchObject - before.watchObject;
  const lists = after.listInstances - before.listInstances;
  printRow({ measure: 'platformCallsPerMinute', way: strategy.name, size, watches, lists });
}

function printRow(row: object): void {
  process.stdout.write(`${JSON.stringify(row)}\n`);
}

async function main(): Promise<void> {
  await measureRollOut(TWO_WATCHERS, PATCH_COUNT);
  await measureRollOut(EVERYONE_WATCHES, PATCH_COUNT);
  await measureRollOut(TWO_WATCHERS_SILENT, 10);
  await Promise.all(
    FLEET_SIZES.flatMap((size) => [
      measureCalls(TWO_WATCHERS, size),
      measureCalls(EVERYONE_WATCHES, size),
    ]),
  );
}

void main();
