import type { MemberReport } from '@wisterialift/pooling';
import { maxPosition } from '@wisterialift/schema';
import type { GroupContext } from './groupContext';
import type { Member } from './member';
import { askMember } from './memberQuestions';

/** Learns a position that shows every acknowledged commit, where no answer has told one lately. */
export interface FloorKeeper {
  /** Resolves once the members have answered, or not; all that wait share one question. */
  refresh: () => Promise<void>;
}

/** Time for the primary, before the others are asked: a round trip between far data centres twice. */
const PRIMARY_MILLISECONDS = 200;
const OTHERS_MILLISECONDS = 400;

/** Pause after questions that were not answered. */
const PAUSE_MILLISECONDS = 50;

/**
 * After a start of all instances nobody knows a position that replicas could be asked for. With every
 * read going to the primary until then, its connections were taken by reads and writes found none.
 *
 * Where the primary does not answer, all other members do as well: a commit is acknowledged only once
 * one of them holds it, so the furthest of their logs shows it. Reads go on without a primary.
 */
export function createFloorKeeper(context: GroupContext): FloorKeeper {
  const { belief, clock, evidence, members } = context;
  let question: Promise<void> | undefined;

  async function ask(): Promise<void> {
    const primary = belief.find();
    if (primary && (await askForReport(primary, PRIMARY_MILLISECONDS))?.isPrimary) return;
    if (await askOthers(primary)) return;
    await belief.waitForChange(PAUSE_MILLISECONDS);
  }

  async function askForReport(member: Member, milliseconds: number) {
    if (member.avoidUntil > clock.now()) return undefined;
    return askMember(context, member, { type: 'status' }, milliseconds);
  }

  async function askOthers(primary: Member | undefined): Promise<boolean> {
    const others = [...members.values()].filter((member) => member !== primary);
    const askedAt = clock.now();
    const reports = await Promise.all(
      others.map((member) => askForReport(member, OTHERS_MILLISECONDS)),
    );
    const told = reports.filter((report): report is MemberReport => report !== undefined);
    const [first, ...rest] = told.map(({ received }) => received);
    if (!first || told.length < Math.max(1, members.size - 1)) return false;
    evidence.addFloor({ askedAt, position: rest.reduce(maxPosition, first) });
    return true;
  }

  return {
    refresh: () => {
      question ??= ask().finally(() => {
        question = undefined;
      });
      return question;
    },
  };
}
