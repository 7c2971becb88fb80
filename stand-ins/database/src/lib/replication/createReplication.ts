import { createConnection } from 'mysql2/promise';
import type { Connection, RowDataPacket } from 'mysql2/promise';
import type { Faults } from '../faults/createFaults';
import type { FollowedPrimary, Member } from '../group/createMember';
import { formatLogRequest } from '../group/groupStatements';
import type { LogAnswer } from '../group/groupStatements';
import type { Log, LogEntry } from '../log/createLog';

/** Account of the replication links; they do not count as connections of callers. */
export const REPLICATION_USER = 'replication';

/** The replica's half of replication. */
export interface Replication {
  stop: () => void;
}

/** What replication works on. */
export interface ReplicationOptions {
  member: Member;
  log: Log;
  faults: Faults;
  password: string;
}

interface DelayedEntry {
  entry: LogEntry;
  receivedAt: number;
}

const RETRY_MILLISECONDS = 50;
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/** Pulls the log from the followed primary, with the lags that the faults ask for. */
export function createReplication(options: ReplicationOptions): Replication {
  const { member, log, faults, password } = options;
  let generation = 0;
  let connection: Connection | undefined;
  /** Entries on their way to this member's log, delayed by the replication lag. */
  let arriving: DelayedEntry[] = [];
  /** Entries of the log that reads do not show yet, delayed by the apply lag. */
  let unapplied: DelayedEntry[] = [];
  let timer: NodeJS.Timeout | undefined;

  /**
   * Entries still on their way belong to the old primary: after a change of term they must not
   * enter the log, since this member has answered that it refuses them.
   */
  function restart(): void {
    generation += 1;
    connection?.destroy();
    connection = undefined;
    arriving = [];
    const primary = member.following();
    if (primary) void pull(primary, generation);
  }

  async function pull(primary: FollowedPrimary, ownGeneration: number): Promise<void> {
    while (generation === ownGeneration) {
      await faults.whenThawed();
      try {
        await pullOnce(primary, ownGeneration);
      } catch {
        connection?.destroy();
        connection = undefined;
        await pause(RETRY_MILLISECONDS);
      }
    }
  }

  async function pullOnce(primary: FollowedPrimary, ownGeneration: number): Promise<void> {
    if (faults.settings().cutFromGroup) {
      await pause(RETRY_MILLISECONDS);
      return;
    }
    const link = connection ?? (await connect(primary));
    if (generation !== ownGeneration) {
      link.destroy();
      return;
    }
    connection = link;
    const request = { term: member.currentTerm(), ...nextPosition() };
    const [rows] = await link.query<RowDataPacket[]>(formatLogRequest(request));
    await faults.whenThawed();
    if (generation !== ownGeneration || faults.settings().cutFromGroup) return;
    takeAnswer(JSON.parse(String(rows[0]?.entries)) as LogAnswer);
  }

  function connect(primary: FollowedPrimary): Promise<Connection> {
    const [host = '', port = ''] = primary.address.split(/:(?=\d+$)/);
    return createConnection({
      host,
      port: Number(port),
      user: REPLICATION_USER,
      password,
      connectTimeout: CONNECT_TIMEOUT_MILLISECONDS,
    });
  }

  function nextPosition(): { afterTerm: number; afterIndex: number } {
    const last = arriving.at(-1)?.entry;
    const { term, index } = last ?? log.end();
    return { afterTerm: term, afterIndex: index };
  }

  function takeAnswer(answer: LogAnswer): void {
    if (answer.type === 'diverged') {
      arriving = [];
      member.truncate(answer.commonIndex);
      unapplied = unapplied.filter(({ entry }) => entry.index <= answer.commonIndex);
      return;
    }
    const receivedAt = performance.now();
    arriving.push(...answer.entries.map((entry) => ({ entry, receivedAt })));
    moveOn();
  }

  /** Moves entries whose delay is over into the log and into the data. */
  function moveOn(): void {
    clearTimeout(timer);
    const now = performance.now();
    const { replicationLagMilliseconds, applyLagMilliseconds, cutFromGroup, frozen } =
      faults.settings();
    if (frozen) return;
    const arrived = cutFromGroup ? [] : takeDue(arriving, now - replicationLagMilliseconds);
    member.receive(arrived.map(({ entry }) => entry));
    unapplied.push(...arrived.map(({ entry }) => ({ entry, receivedAt: now })));
    const due = takeDue(unapplied, now - applyLagMilliseconds).at(-1);
    if (due) member.applyThrough(due.entry.index);
    scheduleNext(now);
  }

  function scheduleNext(now: number): void {
    const { replicationLagMilliseconds, applyLagMilliseconds } = faults.settings();
    const times = [
      ...(arriving[0] ? [arriving[0].receivedAt + replicationLagMilliseconds] : []),
      ...(unapplied[0] ? [unapplied[0].receivedAt + applyLagMilliseconds] : []),
    ];
    if (times.length === 0) return;
    timer = setTimeout(moveOn, Math.max(1, Math.min(...times) - now));
  }

  member.onChange(restart);
  faults.onChange(moveOn);
  restart();

  return {
    stop: () => {
      generation += 1;
      clearTimeout(timer);
      connection?.destroy();
    },
  };
}

/** Takes the entries that were received at or before a time off the front. */
function takeDue(entries: DelayedEntry[], latest: number): DelayedEntry[] {
  const firstLater = entries.findIndex(({ receivedAt }) => receivedAt > latest);
  return entries.splice(0, firstLater === -1 ? entries.length : firstLater);
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}
