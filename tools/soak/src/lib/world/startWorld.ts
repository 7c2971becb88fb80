import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { findFreePorts } from '@wisterialift/bench';
import {
  createLineGroup,
  createPlatformEntries,
  createStatementRecord,
  startDutyServer,
  startObjectStore,
} from '@wisterialift/stand-in-line-platform';
import type {
  DutyServer,
  LineGroup,
  LineMember,
  ObjectStoreServer,
  StatementRecord,
} from '@wisterialift/stand-in-line-platform';
import { SOAK_TEAMS } from '../load/soakTeams';
import { startSoakDatabase } from './soakDatabase';
import type { SoakDatabase } from './soakDatabase';
import { startSoakInstance } from './soakInstance';
import type { SoakInstance } from './soakInstance';

/** Everything that the soak starts: instances as processes, all else as stand-ins. */
export interface World {
  group: LineGroup;
  databases: SoakDatabase[];
  instances: SoakInstance[];
  store: ObjectStoreServer;
  duty: DutyServer;
  /** What all callers send. */
  record: StatementRecord;
  /** Writes the next version of the configuration. */
  configure: (changes?: { timeout?: number }) => void;
  setLeaving: (member: LineMember, isLeaving: boolean) => void;
  /** All times in which a database was leaving. */
  leavings: () => Leaving[];
  /** The log lines of all instances. */
  lines: () => readonly string[];
  close: () => Promise<void>;
}

/** A time in which a database was leaving; steady milliseconds. */
export interface Leaving {
  memberId: string;
  from: number;
  /** Infinity while it goes on. */
  until: number;
}

export interface WorldOptions {
  instances: number;
  /** Connections that a database takes; few make some instances hold them for the others. */
  maximumConnections: number;
}

const GROUP = 'group-1';

/** The last lines that are kept of all instances together. */
const KEPT_LINES = 20_000;

export async function startWorld(options: WorldOptions): Promise<World> {
  const { maximumConnections } = options;
  const group = createLineGroup({ name: GROUP, ids: ['a', 'b', 'c'] });
  const store = await startObjectStore();
  const duty = await startDutyServer(() => group);
  const folder = mkdtempSync(join(tmpdir(), 'wisterialift-soak-'));
  const databases: SoakDatabase[] = [];
  const instances: SoakInstance[] = [];
  const lines: string[] = [];
  const leavings: Leaving[] = [];
  const entries = createPlatformEntries(store, GROUP);

  const findLeaving = ({ id }: LineMember) =>
    leavings.find(({ memberId, until }) => memberId === id && until === Infinity);

  function list(member: LineMember): void {
    const database = databases.find((other) => other.member === member);
    if (!database) return;
    const address = `127.0.0.1:${database.link.port}`;
    entries.listMember(member, { address, isLeaving: findLeaving(member) !== undefined });
  }

  const configure = (changes: { timeout?: number } = {}) =>
    entries.configure({ ...changes, maximumConnections, teams: SOAK_TEAMS });

  for (const member of group.members.values()) {
    databases.push(await startSoakDatabase(group, member));
    list(member);
  }
  group.onRoleChange(list);
  configure();

  const ports = await findFreePorts(options.instances * 3);
  for (let index = 0; index < options.instances; index += 1) {
    const [callers, readiness, relay] = ports.slice(index * 3) as [number, number, number];
    instances.push(
      await startSoakInstance({
        name: `instance-${index + 1}`,
        folder,
        ports: { callers, readiness, relay },
        storePort: Number(store.address.split(':')[1]),
        ordersAddress: duty.address,
        onLine: (line) => {
          lines.push(line);
          if (lines.length > KEPT_LINES) lines.shift();
        },
      }),
    );
  }

  return {
    group,
    databases,
    instances,
    store,
    duty,
    record: createStatementRecord(),
    configure,
    setLeaving: (member, isLeaving) => {
      const present = findLeaving(member);
      if (present) present.until = isLeaving ? Infinity : performance.now();
      else if (isLeaving) {
        leavings.push({ memberId: member.id, from: performance.now(), until: Infinity });
      }
      list(member);
    },
    leavings: () => leavings,
    lines: () => lines,
    close: async () => {
      await Promise.all(instances.map((instance) => instance.close()));
      await Promise.all(databases.map((database) => database.close()));
      await Promise.all([store.close(), duty.close()]);
      rmSync(folder, { recursive: true });
    },
  };
}
