import type { ResultSetHeader, RowDataPacket } from 'mysql2/promise';
import { expect, onTestFinished, test } from 'vitest';
import { startTrial } from '../index';

test('a trial delays what passes between data centres, and leaves no process behind', async () => {
  const trial = await startTrial({
    proxies: 0,
    databasesPerGroup: 2,
    links: { delayMilliseconds: 20, jitterMilliseconds: 0, loss: 0 },
  });
  onTestFinished(trial.stop);
  const [primary, replica] = trial.databasesOf('archivio-luci-1');
  const near = await trial.connectToDatabase(primary!, 'sesto-dc');
  const far = await trial.connectToDatabase(primary!, 'mestre-dc');
  const insert = 'INSERT INTO records (id) VALUES (?)';
  await near.execute<ResultSetHeader>(insert, ['near']);
  const started = performance.now();
  await far.execute<ResultSetHeader>(insert, ['far']);
  expect(performance.now() - started).toBeGreaterThanOrEqual(38);

  while ((await replica!.health()).status.applied.index < 4) await replica!.health();
  const rows = await replica!.readRows<RowDataPacket>('SELECT id FROM records ORDER BY id');
  expect(rows).toEqual([{ id: 'far' }, { id: 'near' }]);

  const programs = trial.databases.map(({ program }) => program());
  near.destroy();
  far.destroy();
  await trial.stop();
  expect(programs.map((program) => program.isRunning())).toEqual([false, false]);
});
