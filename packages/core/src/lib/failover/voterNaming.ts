import { comparePositions } from '@wisterialift/schema';
import type { MemberStatus, Position, Voters } from '@wisterialift/schema';
import { getMemberSet } from '../engine/memberSet';
import type { MemberTable } from '../engine/memberTable';
import type { FailoverCommand } from './failoverCommand';

/** Makes the primary name the incarnations of the members that vote. @internal */
export interface VoterNaming {
  /** Sends the command that is due; does nothing while the present voters are not established. */
  nameVoters: (now: number) => void;
}

/**
 * Names the voters of a group in the log, one change after the other.
 *
 * A database that comes back without its log is another incarnation: the former one is taken out by one entry,
 * and the present one is added by a later one. Each entry changes one voter, so that majorities before and after
 * it share a member, and the next one waits until a majority has the last one in the primary's term. Every
 * instance sends the command; the primary takes the one that follows its newest entry.
 *
 * @internal
 */
export function createVoterNaming(options: {
  members: MemberTable;
  sendCommand: (command: FailoverCommand, now: number) => number;
  /** Mean interval between two commands. */
  followMilliseconds: number;
  random: () => number;
  peekNextControlRequestId: () => number;
  probeAll: (now: number) => void;
}): VoterNaming {
  const { members, sendCommand, followMilliseconds, random } = options;
  let nextNamingAt = 0;
  let newestAt: Position | undefined;
  /** First control request whose answer is newer than the newest voters. */
  let fromControlRequestId = 0;

  /** Asks all members again once the voters have changed: what was known may be of a former incarnation. */
  function observeVoters({ position }: Voters, now: number): void {
    if (newestAt && comparePositions(position, newestAt) === 0) return;
    newestAt = position;
    nextNamingAt = now;
    fromControlRequestId = options.peekNextControlRequestId();
    options.probeAll(now);
  }

  function findIncarnation(name: string): string | undefined {
    const member = members.get(name);
    if (!member || member.statusControlRequestId < fromControlRequestId) return undefined;
    return member.status?.incarnation;
  }

  function findNextVoters(
    { incarnations }: Voters,
    reaching: MemberStatus[],
  ): Voters['incarnations'] | undefined {
    const named = Object.entries(incarnations);
    if (named.length === 0) {
      return Object.fromEntries(reaching.map(({ member, incarnation }) => [member, incarnation]));
    }
    const leaving = named.find(
      ([name, incarnation]) =>
        !members.get(name) || (findIncarnation(name) ?? incarnation) !== incarnation,
    );
    if (leaving) return Object.fromEntries(named.filter((entry) => entry !== leaving));
    const joining = reaching.find(
      ({ member }) => !Object.hasOwn(incarnations, member) && findIncarnation(member) !== undefined,
    );
    return joining && { ...incarnations, [joining.member]: joining.incarnation };
  }

  function nameVoters(now: number): void {
    const primary = members.getPrimary()?.status;
    if (!primary?.voters) return;
    if (getMemberSet(primary.currentTerm) !== members.getMemberSet()) return;
    const { currentTerm: term, voters, member } = primary;
    observeVoters(voters, now);
    if (now < nextNamingAt) return;
    const reaching = members.listReaching(voters.position);
    const incarnations = findNextVoters(voters, reaching);
    if (!incarnations || !members.countVotesOrAll(reaching).isMajority) return;
    nextNamingAt = now + followMilliseconds * (0.5 + random());
    sendCommand({ type: 'nameVoters', member, term, after: voters.position, incarnations }, now);
  }

  return { nameVoters };
}
