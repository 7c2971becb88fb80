import { startTrial } from '@wisterialift/bench';
import type { Trial, TrialDatabase, TrialProxy } from '@wisterialift/bench';
import { afterEach, describe, expect, it } from 'vitest';
import { KEPT, findBrokenPromises, startWorkload, waitUntil } from './lib/workload';
import type { Workload, WorkloadReport } from './lib/workload';

const GROUP = 'archivio-luci-1';
const SESSIONS = 8;
/** Acknowledged writes before and after a fault that make sure the load met it. */
const SOME_WRITES = 30;
const TEST_TIMEOUT_MILLISECONDS = 180_000;

let trial: Trial;

afterEach(async () => {
  await trial.stop();
});

/** Starts a trial with sessions that write and read through all its proxies. */
async function startUnderLoad(proxies: number): Promise<Workload> {
  trial = await startTrial({ proxies, groups: [GROUP] });
  const workload = startWorkload({
    trial,
    group: GROUP,
    sessions: SESSIONS,
    proxies: trial.proxies,
  });
  await workload.waitForAcknowledged(SOME_WRITES);
  return workload;
}

async function requirePrimary(): Promise<TrialDatabase> {
  const primary = await trial.findPrimary(GROUP);
  if (!primary) throw new Error('the group has no primary');
  return primary;
}

async function waitForOtherPrimary(former: TrialDatabase): Promise<void> {
  await waitUntil('another member is primary', async () => {
    const primary = await trial.findPrimary(GROUP);
    return primary !== undefined && primary.name !== former.name;
  });
}

function expectKept(report: WorkloadReport): Promise<void> {
  return expect(findBrokenPromises({ trial, group: GROUP, report })).resolves.toEqual(KEPT);
}

describe('a change of primary with real processes', () => {
  it(
    'loses and doubles nothing when the primary is killed and comes back with its log',
    async () => {
      // A technician logs tests while the primary's room loses power; later the machine returns.
      // The writes it had not yet passed on are discarded by the new term, so none of them may have
      // been acknowledged, and what was acknowledged must be in the log of its successor.
      const workload = await startUnderLoad(2);
      const former = await requirePrimary();
      await former.program().kill();
      await workload.waitForAcknowledged(SOME_WRITES);
      await former.restart();
      await workload.waitForAcknowledged(SOME_WRITES);
      const report = await workload.stop();
      await expectKept(report);
    },
    TEST_TIMEOUT_MILLISECONDS,
  );

  it(
    'acknowledges nothing of a primary that was frozen, replaced and thawed',
    async () => {
      // The primary stands still for seconds while writes wait at it; another one takes over; then
      // it wakes and answers as if nothing had happened. Callers must not be told that these writes
      // are kept.
      const workload = await startUnderLoad(2);
      const former = await requirePrimary();
      former.program().freeze();
      await workload.waitForAcknowledged(SOME_WRITES);
      former.program().thaw();
      await workload.waitForAcknowledged(SOME_WRITES);
      const report = await workload.stop();
      await expectKept(report);
    },
    TEST_TIMEOUT_MILLISECONDS,
  );

  it(
    'acknowledges nothing of a primary that is cut from its group while callers reach it',
    async () => {
      // The link between data centres breaks so that the proxies reach every database and the
      // databases do not reach each other. The primary goes on committing alone. Writes must wait
      // for a majority, and flow again once a successor is promoted.
      const workload = await startUnderLoad(2);
      const former = await requirePrimary();
      await former.changeFaults({ cutFromGroup: true });
      await waitForOtherPrimary(former);
      await workload.waitForAcknowledged(SOME_WRITES);
      await former.changeFaults({ cutFromGroup: false });
      await workload.waitForAcknowledged(SOME_WRITES);
      const report = await workload.stop();
      await expectKept(report);
    },
    TEST_TIMEOUT_MILLISECONDS,
  );

  it(
    'is not set off by a proxy that was frozen',
    async () => {
      // One proxy stands still for longer than every timeout. When it wakes, all its questions are
      // long overdue and every member seems silent. It must look again before it deposes anybody.
      const workload = await startUnderLoad(2);
      const [frozen] = trial.proxies as [TrialProxy];
      const before = await requirePrimary();
      frozen.program().freeze();
      await new Promise((resolve) => {
        setTimeout(resolve, 4_000);
      });
      frozen.program().thaw();
      await workload.waitForAcknowledged(SOME_WRITES);
      const report = await workload.stop();
      const { status } = await before.health();
      expect({ role: status.role, currentTerm: status.currentTerm }).toEqual({
        role: 'primary',
        currentTerm: 1,
      });
      await expectKept(report);
    },
    TEST_TIMEOUT_MILLISECONDS,
  );

  it(
    'goes on while the platform is down, and one proxy is killed as well',
    async () => {
      // The platform's store is away for a long stretch. In that time a proxy dies and then the
      // primary. Nothing of the way of a write needs the store, so writes go on.
      const workload = await startUnderLoad(3);
      await trial.platform.changeFaults({ outage: true });
      const former = await requirePrimary();
      await (trial.proxies[2] as TrialProxy).program().kill();
      await former.program().kill();
      await workload.waitForAcknowledged(SOME_WRITES);
      await trial.platform.changeFaults({ outage: false });
      const report = await workload.stop();
      await expectKept(report);
    },
    TEST_TIMEOUT_MILLISECONDS,
  );
});
