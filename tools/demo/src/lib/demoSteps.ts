import type { Trial, TrialProxy } from '@wisterialift/bench';
import type { Connection, RowDataPacket } from 'mysql2/promise';
import { callAdministration } from './callAdministration';
import { DemoError } from './demoError';

/** One step of the demo: what it shows, and how. */
export interface DemoStep {
  name: string;
  /** @returns what was seen, for the line of the step. */
  run: (stage: DemoStage) => Promise<string>;
}

/** What the steps share. */
export interface DemoStage {
  trial: Trial;
  group: string;
  first: TrialProxy;
  second: TrialProxy;
}

interface NumberedConfiguration {
  number: number;
}

interface GroupView {
  primary: string | undefined;
  term: number;
}

const SESSION = 'round-2026-12';
const FIRST_RECORD = 'luminaire-1';
const SECOND_RECORD = 'luminaire-2';
const INSERT = 'INSERT INTO records (id, session, note) VALUES (?, ?, ?)';
const COUNT = 'SELECT COUNT(*) AS count FROM records WHERE id = ?';

/** Longest time that a step waits for what it shows. */
const PATIENCE_MILLISECONDS = 20_000;
const POLL_MILLISECONDS = 25;
/** How long the load of the graceful stop runs before the stop, and how many connections carry it. */
const LOAD_LEAD_MILLISECONDS = 300;
const LOAD_CONNECTIONS = 8;

/** Error number of the proxy for a request that no database ran. */
const NOT_RUN = 9101;

/** The steps in order; each depends on those before. */
export const DEMO_STEPS: readonly DemoStep[] = [
  { name: 'write through the first proxy', run: writeThroughFirst },
  { name: 'read it through the second proxy without a token', run: readThroughSecond },
  { name: 'kill the primary and write again', run: writeAfterKill },
  { name: 'read both records after the change of primary', run: readBoth },
  { name: 'apply a configuration patch', run: applyPatch },
  { name: 'refuse an outdated patch', run: refuseOutdatedPatch },
  { name: 'stop a proxy gracefully under load', run: stopUnderLoad },
];

async function writeThroughFirst({ trial, first, group }: DemoStage): Promise<string> {
  const connection = await trial.connectToProxy(first, group);
  try {
    await connection.execute(INSERT, [FIRST_RECORD, SESSION, 'function test passed']);
    return `${FIRST_RECORD} was acknowledged`;
  } finally {
    connection.destroy();
  }
}

async function readThroughSecond({ trial, second, group }: DemoStage): Promise<string> {
  const connection = await trial.connectToProxy(second, group);
  try {
    await expectRecord(connection, FIRST_RECORD);
    return `${FIRST_RECORD} was found`;
  } finally {
    connection.destroy();
  }
}

async function writeAfterKill(stage: DemoStage): Promise<string> {
  const { trial, group, first } = stage;
  const primary = await trial.findPrimary(group);
  if (!primary) throw new DemoError('the group has no primary');
  await primary.program().kill();
  const killedAt = performance.now();
  const connection = await trial.connectToProxy(first, group);
  try {
    await writeUntilAcknowledged(connection);
  } finally {
    connection.destroy();
  }
  const gap = Math.round(performance.now() - killedAt);
  const { primary: successor, term } = await viewGroup(stage);
  return `${primary.name} was killed; ${successor} took over in term ${term}; gap ${gap} ms`;
}

/** Repeats the write under the same key: one whose outcome is unknown shows as a duplicate key. */
async function writeUntilAcknowledged(connection: Connection): Promise<void> {
  await waitFor('the write was not acknowledged', async () => {
    try {
      await connection.execute(INSERT, [SECOND_RECORD, SESSION, 'duration test passed']);
      return true;
    } catch (error) {
      return (error as { code?: string }).code === 'ER_DUP_ENTRY';
    }
  });
}

async function readBoth({ trial, second, group }: DemoStage): Promise<string> {
  const connection = await trial.connectToProxy(second, group);
  try {
    await expectRecord(connection, FIRST_RECORD);
    await expectRecord(connection, SECOND_RECORD);
    return 'both records were found once';
  } finally {
    connection.destroy();
  }
}

async function applyPatch(stage: DemoStage): Promise<string> {
  const { first, second } = stage;
  const { number } = await viewConfiguration(first);
  const answer = await submitPatch(first, { patchId: 'demo-1', againstNumber: number });
  if (answer.status !== 200) throw new DemoError(`the patch was answered with ${answer.status}`);
  await waitFor('the second proxy did not adopt the patch', async () => {
    const { number: inForce } = await viewConfiguration(second);
    return inForce === number + 1;
  });
  return `number ${number + 1} is in force at both proxies`;
}

async function refuseOutdatedPatch({ second }: DemoStage): Promise<string> {
  const { number } = await viewConfiguration(second);
  const answer = await submitPatch(second, { patchId: 'demo-2', againstNumber: number - 1 });
  if (answer.status !== 409) throw new DemoError(`the patch was answered with ${answer.status}`);
  return `refused; the present number is ${number}`;
}

async function stopUnderLoad({ trial, second, group }: DemoStage): Promise<string> {
  const connections = await Promise.all(
    Array.from({ length: LOAD_CONNECTIONS }, () => trial.connectToProxy(second, group)),
  );
  const load = connections.map(runLoad);
  await pause(LOAD_LEAD_MILLISECONDS);
  const exitCode = await second.program().stop(PATIENCE_MILLISECONDS);
  const results = await Promise.all(load);
  const answered = results.reduce((sum, result) => sum + result.answered, 0);
  const cut = results.reduce((sum, result) => sum + result.cut, 0);
  if (exitCode !== 0) throw new DemoError(`the proxy ended with ${exitCode}`);
  if (cut > 0) throw new DemoError(`${cut} requests were cut`);
  return `${answered} requests were answered, none cut`;
}

interface LoadResult {
  answered: number;
  /** Requests that got neither an answer nor the word that they were not run. */
  cut: number;
}

/**
 * Reads in a closed loop until the proxy has closed the connection.
 *
 * Once the driver has heard of the close it refuses to send, so such a request was never in flight.
 */
async function runLoad(connection: Connection): Promise<LoadResult> {
  let isOpen = true;
  connection.on('error', () => {
    isOpen = false;
  });
  let answered = 0;
  let cut = 0;
  while (isOpen) {
    try {
      await connection.query(COUNT, [FIRST_RECORD]);
      answered += 1;
    } catch (error) {
      isOpen = false;
      if ((error as { errno?: number }).errno !== NOT_RUN) cut += 1;
    }
  }
  connection.destroy();
  return { answered, cut };
}

async function expectRecord(connection: Connection, id: string): Promise<void> {
  const [rows] = await connection.query<(RowDataPacket & { count: number })[]>(COUNT, [id]);
  const count = Number(rows[0]?.count);
  if (count !== 1) throw new DemoError(`${id} was found ${count} times`);
}

function viewConfiguration(proxy: TrialProxy): Promise<NumberedConfiguration> {
  return callAdministration<NumberedConfiguration>(proxy, '/v1/configuration').then(
    ({ body }) => body,
  );
}

function viewGroup({ first, group }: DemoStage): Promise<GroupView> {
  return callAdministration<GroupView>(first, `/v1/groups/${group}`).then(({ body }) => body);
}

function submitPatch(
  proxy: TrialProxy,
  patch: { patchId: string; againstNumber: number },
): Promise<{ status: number }> {
  const changes = { kinds: { inspection: { maximumStalenessMilliseconds: 2_000 } } };
  return callAdministration(proxy, '/v1/configuration/patches', {
    ...patch,
    author: 'demo',
    changes,
  });
}

async function waitFor(failure: string, isReached: () => Promise<boolean>): Promise<void> {
  const giveUpAt = performance.now() + PATIENCE_MILLISECONDS;
  while (!(await isReached())) {
    if (performance.now() > giveUpAt) throw new DemoError(failure);
    await pause(POLL_MILLISECONDS);
  }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}
