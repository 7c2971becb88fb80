import { startLineDatabase } from '@wisterialift/stand-in-line-platform';
import type {
  LineDatabase,
  LineGroup,
  LineMember,
  RejectedMessage,
  StatementRun,
} from '@wisterialift/stand-in-line-platform';
import { openFaultLink } from './faultLink';
import type { FaultLink } from './faultLink';

/** A database of the soak, reached over a link. */
export interface SoakDatabase {
  member: LineMember;
  link: FaultLink;
  /** Breaks all connections and answers no new ones. */
  crash: () => Promise<void>;
  /** Comes back with its log, as a replica where another member leads meanwhile. */
  restart: () => Promise<void>;
  /** All statements that it ran, those of former lives included. */
  runs: () => StatementRun[];
  /** All messages that it did not take, in all lives. */
  rejections: () => RejectedMessage[];
  close: () => Promise<void>;
}

const portOf = ({ address }: LineDatabase) => Number(address.split(':')[1]);

export async function startSoakDatabase(
  group: LineGroup,
  member: LineMember,
): Promise<SoakDatabase> {
  let database = await startLineDatabase(group, member);
  const link = await openFaultLink(portOf(database));
  const lives = [database];

  return {
    member,
    link,
    crash: async () => {
      link.resetAll();
      await database.crash();
    },
    restart: async () => {
      database = await startLineDatabase(group, member);
      lives.push(database);
      link.retarget(portOf(database));
      const leader = [...group.members.values()].find(
        (other) => other.role === 'primary' && other.term > member.term,
      );
      Object.assign(member, { isUp: true, heldTerm: 0 });
      if (leader) group.demote(member, leader.term);
    },
    runs: () => lives.flatMap(({ runs }) => runs),
    rejections: () => lives.flatMap(({ rejections }) => rejections),
    close: async () => {
      link.close();
      await database.close();
    },
  };
}
