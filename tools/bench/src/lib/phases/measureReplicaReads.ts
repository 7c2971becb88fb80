import type { RowDataPacket } from 'mysql2/promise';
import type { TrialDatabase } from '../cluster/startDatabase';
import type { Trial } from '../cluster/startTrial';
import type { Oracle } from '../load/createOracle';
import { findErrorMeaning } from '../load/callerError';
import { createReconnecting } from '../load/createReconnecting';
import { createTimings, pause, repeatFor, timed } from '../load/timings';
import type { Timings } from '../load/timings';

/** What the phase of roaming sessions gives. */
export interface ReplicaReadResult {
  /** Reads that replicas served in proportion to all. */
  share: number;
  reads: number;
  writes: number;
  failures: number;
  readP50: number;
  readP99: number;
}

/** How the sessions behave. */
export interface ReplicaReadOptions {
  group: string;
  milliseconds: number;
  sessions: number;
  /** Reads between two writes of a session. */
  readsPerWrite: number;
  /** Names the run; part of every id. */
  run: string;
  oracle: Oracle;
}

const THINK_MILLISECONDS = 5;
const WRITE = 'INSERT INTO records (id, session, note) VALUES (?, ?, ?)';
const READ = '/* wisterialift kind=history */ SELECT id FROM records WHERE session = ?';

/**
 * Sessions write and read their own history, at another proxy with each statement and without
 * carrying a token. The databases count who served the reads.
 */
export async function measureReplicaReads(
  trial: Trial,
  options: ReplicaReadOptions,
): Promise<ReplicaReadResult> {
  const members = trial.databasesOf(options.group);
  const readTimings = createTimings();
  const before = await countReads(members);
  const sessions = await Promise.all(
    Array.from({ length: options.sessions }, (_, index) =>
      runSession(trial, options, `${options.run}-${index}`, readTimings),
    ),
  );
  const after = await countReads(members);
  const byRole = { primary: 0, replica: 0 };
  members.forEach(({ name }, index) => {
    const end = after[index];
    const count = (end?.reads ?? 0) - (before[index]?.reads ?? 0);
    byRole[end?.role ?? 'replica'] += count;
    if (!end) throw new Error(`${name} does not answer`);
  });
  const reads = byRole.primary + byRole.replica;
  return {
    writes: sessions.reduce((sum, { writes }) => sum + writes, 0),
    failures: sessions.reduce((sum, { failures }) => sum + failures, 0),
    share: reads === 0 ? 0 : byRole.replica / reads,
    reads,
    readP50: readTimings.percentile(50),
    readP99: readTimings.percentile(99),
  };
}

async function countReads(
  members: TrialDatabase[],
): Promise<{ role: 'primary' | 'replica'; reads: number }[]> {
  return Promise.all(
    members.map(async (member) => {
      const { status, statements } = await member.health();
      return { role: status.role, reads: statements.read ?? 0 };
    }),
  );
}

interface SessionCounts {
  writes: number;
  failures: number;
}

async function runSession(
  trial: Trial,
  options: ReplicaReadOptions,
  session: string,
  readTimings: Timings,
): Promise<SessionCounts> {
  const { group, milliseconds, readsPerWrite, oracle } = options;
  const connections = trial.proxies.map((proxy) =>
    createReconnecting(() => trial.connectToProxy(proxy, group)),
  );
  const acknowledged: string[] = [];
  const counts: SessionCounts = { writes: 0, failures: 0 };
  let step = 0;
  const nextConnection = (): (typeof connections)[number] => {
    step += 1;
    return connections[step % connections.length]!;
  };

  async function write(): Promise<void> {
    const id = `${session}-${step}`;
    counts.writes += 1;
    try {
      await nextConnection().use((connection) => connection.query(WRITE, [id, session, 'test']));
      acknowledged.push(id);
      oracle.recordWrite({ group, id, outcome: 'acknowledged' });
    } catch (error) {
      counts.failures += 1;
      oracle.recordWrite({ group, id, outcome: findErrorMeaning(error) });
    }
  }

  async function read(): Promise<void> {
    const expected = [...acknowledged];
    try {
      const [rows] = await timed(readTimings, () =>
        nextConnection().use((connection) => connection.query<RowDataPacket[]>(READ, [session])),
      );
      oracle.checkRead(expected, new Set(rows.map((row) => String(row.id))));
    } catch {
      counts.failures += 1;
    }
  }

  await repeatFor(milliseconds, async () => {
    await write();
    for (let count = 0; count < readsPerWrite; count += 1) {
      await read();
      await pause(THINK_MILLISECONDS);
    }
  });
  connections.forEach((connection) => connection.close());
  return counts;
}
