import {
  DEPARTURE_SETTLING_MILLISECONDS,
  DEPARTURE_TIMEOUT_MILLISECONDS,
} from './directoryValidity';
import { createDepartedMembers } from './departedMembers';
import type { DepartedMembers } from './departedMembers';
import { isSameLife, isSameListing, renewListing, subtractMembers } from './memberRegister';
import type { MemberRegister, RegisteredMember } from './memberRegister';
import type { ListedMember } from './recentListings';

/** Tracks the members that the directory lists or listed, those that the register names, and their departures. @public */
export interface KnownMembers {
  /** @returns whether members were found to have departed. */
  update: (state: KnownMembersState, now: number) => boolean;
  /** Drops departed members that no acknowledged commit rests on any more. */
  dropSettled: () => void;
  list: () => RegisteredMember[];
  /** Returns the known members less those that are settled and not registered. */
  listRequired: () => RegisteredMember[];
  departures: DepartedMembers;
}

/** @public */
export interface KnownMembersState {
  /** Members that the directory lists. */
  present: readonly ListedMember[];
  register: MemberRegister | undefined;
}

/** @public */
export function createKnownMembers(): KnownMembers {
  const departures = createDepartedMembers({
    settlingTime: DEPARTURE_SETTLING_MILLISECONDS,
    timeout: DEPARTURE_TIMEOUT_MILLISECONDS,
  });
  /** Members listed since this instance started, which others may have registered. */
  let lives: ListedMember[] = [];
  let registered: readonly RegisteredMember[] = [];

  function list(): RegisteredMember[] {
    const known = lives.map((life) => renewListing(life, registered));
    return [...known, ...subtractMembers(registered, known)];
  }

  const isRequired = (life: RegisteredMember) =>
    registered.some((member) => isSameLife(member, life)) || !departures.isSettled(life);

  return {
    update: ({ present, register }, now) => {
      registered = register?.members ?? [];
      lives = lives.filter((life) => !present.some((other) => isSameLife(life, other)));
      lives.push(...present);
      const absent = subtractMembers(list(), present);
      departures.retain(absent);
      const added = subtractMembers(absent, departures.list(), isSameListing);
      for (const member of added) departures.recordDeparture(member, now);
      const ended = lives.filter((life) => present.some((other) => isSuccessor(other, life)));
      for (const life of ended) departures.recordEnd(life, now);
      return added.length > 0;
    },
    dropSettled: () => {
      lives = lives.filter(isRequired);
    },
    list,
    listRequired: () => list().filter(isRequired),
    departures,
  };
}

/** Whether a process can only have started after the other one ended. */
function isSuccessor(life: ListedMember, former: ListedMember): boolean {
  if (isSameLife(life, former)) return false;
  return life.memberId === former.memberId || life.address === former.address;
}
