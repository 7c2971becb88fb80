import { execFile } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { startTrial } from '@wisterialift/bench';
import type { Trial, TrialProxy } from '@wisterialift/bench';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { KEPT, findBrokenPromises, pause, startWorkload, waitUntil } from './lib/workload';

const GROUP = 'sertifikat-db-1';
const SOME_WRITES = 30;
/** An upstream that is leaving receives nothing new after this. */
const LEAVING_BOUND_MILLISECONDS = 5_000;
const TEST_TIMEOUT_MILLISECONDS = 180_000;

let trial: Trial;
let directory: string;

beforeAll(async () => {
  directory = mkdtempSync(join(tmpdir(), 'wisterialift-operations-'));
  trial = await startTrial({ proxies: 3, groups: [GROUP] });
}, TEST_TIMEOUT_MILLISECONDS);

afterAll(async () => {
  await trial.stop();
  rmSync(directory, { recursive: true, force: true });
});

interface CommandResult {
  code: number;
  output: string;
  errors: string;
}

/** Runs the command line against the administration API of a proxy. */
function run(proxy: TrialProxy, ...commandArguments: string[]): Promise<CommandResult> {
  const env = {
    ...process.env,
    WISTERIALIFT_ADDRESS: `127.0.0.1:${proxy.administrationPort}`,
    WISTERIALIFT_TOKEN: proxy.administrationToken,
  };
  return new Promise((resolve) => {
    const program = ['dist/wisterialift.cjs', ...commandArguments];
    execFile('node', program, { env }, (error, output, errors) => {
      resolve({ code: typeof error?.code === 'number' ? error.code : 0, output, errors });
    });
  });
}

function proxyAt(index: number): TrialProxy {
  return trial.proxies[index] as TrialProxy;
}

async function readNumber(proxy: TrialProxy): Promise<number> {
  const { output } = await run(proxy, 'config', 'get', '--json');
  return (JSON.parse(output) as { number: number }).number;
}

function writePatch(name: string, changes: object): string {
  const path = join(directory, name);
  writeFileSync(path, JSON.stringify(changes));
  return path;
}

async function waitForNumber(number: number): Promise<void> {
  await waitUntil(`number ${number} is in force everywhere`, async () => {
    const numbers = await Promise.all(trial.proxies.map(readNumber));
    return numbers.every((inForce) => inForce === number);
  });
}

describe('operators', () => {
  it(
    'accept one of two patches that were made at the same moment',
    async () => {
      // Two operators submit patches against the same number through different instances. One must
      // be accepted and be in force everywhere, the other refused with the present number.
      const number = await readNumber(proxyAt(0));
      const results = await Promise.all(
        ['first', 'second'].map((name, index) => {
          const file = writePatch(`${name}.json`, { kinds: { [name]: { priority: 9 } } });
          const against = ['--against', `${number}`, '--id', name];
          return run(proxyAt(index), 'config', 'patch', '--file', file, ...against);
        }),
      );
      expect(results.map(({ code }) => code).sort()).toEqual([0, 4]);
      await waitForNumber(number + 1);
      const finds = await Promise.all(
        ['first', 'second'].map((name) =>
          run(proxyAt(2), 'config', 'find', name, '--against', `${number}`),
        ),
      );
      expect(finds.map(({ code }) => code)).toEqual(results.map(({ code }) => code));
    },
    TEST_TIMEOUT_MILLISECONDS,
  );

  it(
    'learn the truth about a patch whose answer was lost',
    async () => {
      // The platform stores the patch and the answer is lost on its way back. The operator must be
      // told that it was accepted, and it must count once.
      const number = await readNumber(proxyAt(0));
      await trial.platform.changeFaults({ loseAnswers: 1 });
      const file = writePatch('lost.json', { kinds: { lost: { priority: 1 } } });
      const against = ['--against', `${number}`];
      const { code } = await run(proxyAt(0), 'config', 'patch', '--file', file, ...against);
      await trial.platform.changeFaults({ loseAnswers: 0 });
      expect(code).toBe(0);
      expect(await readNumber(proxyAt(0))).toBe(number + 1);
      await waitForNumber(number + 1);
    },
    TEST_TIMEOUT_MILLISECONDS,
  );

  it(
    'take out a database that is the primary without losing a write',
    async () => {
      // An operator marks the primary's database as leaving while certificates are issued. A
      // successor takes over first; a few seconds later the leaving one gets nothing new, and no
      // acknowledged write is missing.
      const workload = startWorkload({ trial, group: GROUP, sessions: 6, proxies: trial.proxies });
      await workload.waitForAcknowledged(SOME_WRITES);
      const leaving = await trial.findPrimary(GROUP);
      const number = await readNumber(proxyAt(0));
      const databases = trial.databasesOf(GROUP).map((database) => ({
        name: database.name,
        host: database.host,
        port: database.port,
        dataCentre: database.dataCentre,
        connectionLimit: database.connectionLimit,
        slots: database.slots,
        leaving: database.name === leaving?.name,
      }));
      const file = writePatch('leaving.json', { groups: { [GROUP]: { databases } } });
      const against = ['--against', `${number}`];
      expect((await run(proxyAt(0), 'config', 'patch', '--file', file, ...against)).code).toBe(0);
      await waitForNumber(number + 1);
      await waitUntil('a successor is primary', async () => {
        const primary = await trial.findPrimary(GROUP);
        return primary !== undefined && primary.name !== leaving?.name;
      });
      await pause(LEAVING_BOUND_MILLISECONDS);
      const before = await leaving?.health();
      await workload.waitForAcknowledged(SOME_WRITES);
      const after = await leaving?.health();
      const report = await workload.stop();
      expect(countWork(after?.statements)).toBe(countWork(before?.statements));
      expect(await findBrokenPromises({ trial, group: GROUP, report })).toEqual(KEPT);
    },
    TEST_TIMEOUT_MILLISECONDS,
  );

  it(
    'drain an instance, which ends by itself with a transaction in flight finished',
    async () => {
      // An operator drains an instance while an inspector is in the middle of a transaction there.
      // The transaction must end with its COMMIT, then the instance goes.
      const drained = proxyAt(2);
      const connection = await trial.connectToProxy(drained, GROUP);
      await connection.query('BEGIN');
      await connection.query("INSERT INTO records (id, session, note) VALUES ('drain', 'a', 'b')");
      expect((await run(proxyAt(0), 'instance', 'drain', drained.name)).code).toBe(0);
      await waitUntil('the instance refuses new callers', async () =>
        trial.connectToProxy(drained, GROUP).then(
          (opened) => {
            opened.destroy();
            return false;
          },
          () => true,
        ),
      );
      await connection.query("INSERT INTO records (id, session, note) VALUES ('drain2', 'a', 'b')");
      await connection.query('COMMIT');
      expect(await drained.program().ended).toBe(0);
      const primary = await trial.findPrimary(GROUP);
      const rows = await primary?.readRows("SELECT id FROM records WHERE id LIKE 'drain%'");
      expect(rows).toHaveLength(2);
    },
    TEST_TIMEOUT_MILLISECONDS,
  );
});

/** Statements of callers; questions for the status go on as long as the database is a member. */
function countWork(statements: Record<string, number> | undefined): number {
  return Object.entries(statements ?? {})
    .filter(([kind]) => !kind.toLowerCase().includes('group'))
    .reduce((sum, [, count]) => sum + count, 0);
}
