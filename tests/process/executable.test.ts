import { execFileSync, spawn } from 'node:child_process';
import { once } from 'node:events';
import { startTrial } from '@wisterialift/bench';
import type { Trial, TrialProxy } from '@wisterialift/bench';
import type { RowDataPacket } from 'mysql2/promise';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { waitUntil } from './lib/workload';

const GROUP = 'archivio-luci-1';
const EXECUTABLE = 'dist/wisterialift';
const TEST_TIMEOUT_MILLISECONDS = 180_000;

let trial: Trial;

beforeAll(async () => {
  // Other tests start programs from the bundles at this moment, so they stay as they are.
  execFileSync('node', ['scripts/build.mjs', '--bundled'], { stdio: 'ignore' });
  trial = await startTrial({ proxies: 1, groups: [GROUP] });
}, TEST_TIMEOUT_MILLISECONDS);

afterAll(async () => {
  await trial.stop();
});

describe('the executable', () => {
  it(
    'runs the same proxy where no Node.js is on the path, and drains on SIGTERM',
    async () => {
      const [proxy] = trial.proxies as [TrialProxy];
      await proxy.program().stop();
      const child = spawn(EXECUTABLE, ['proxy', '--settings', proxy.settingsFile], {
        stdio: 'ignore',
        env: {},
      });
      await waitUntil('the executable accepts callers', async () =>
        trial.connectToProxy(proxy, GROUP).then(
          (connection) => {
            connection.destroy();
            return true;
          },
          () => false,
        ),
      );
      const connection = await trial.connectToProxy(proxy, GROUP);
      await connection.query("INSERT INTO records (id, session, note) VALUES ('x', 'y', 'z')");
      const [rows] = await connection.query<RowDataPacket[]>('SELECT note FROM records');
      expect(rows).toEqual([{ note: 'z' }]);
      connection.destroy();
      child.kill('SIGTERM');
      expect(await once(child, 'exit')).toEqual([0, null]);
    },
    TEST_TIMEOUT_MILLISECONDS,
  );

  it('checks settings and names file and key', () => {
    const { settingsFile } = trial.proxies[0] as TrialProxy;
    const output = execFileSync(EXECUTABLE, ['settings', 'check', settingsFile], {
      env: {},
      encoding: 'utf8',
    });
    expect(output).toContain('correct; instance proxy-1');
  });
});
