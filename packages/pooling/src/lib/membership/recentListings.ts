import type { ClockReadings } from '../timing/clockReadings';
import { isListingValid } from './directoryValidity';
import { isSameLife, isSameListing } from './memberRegister';
import type { MemberRegister, RegisteredMember } from './memberRegister';

/** A directory entry of one life of a member's process. @public */
export interface ListedMember extends RegisteredMember {
  address: string;
}

/** Remembers when the directory listed members last, to tell whose word counts. @public */
export interface RecentListings {
  /**
   * Records the members that the directory lists.
   *
   * @param completeAt - the directory includes every change accepted before this time.
   */
  record: (members: readonly ListedMember[], completeAt: ClockReadings | undefined) => void;
  /** Forgets members for which `isKnown` is false. */
  retain: (isKnown: (memberId: string) => boolean) => void;
  /**
   * Whether the directory listed the member's entry so recently that no instance can have stopped waiting
   * for the member.
   */
  isRecent: (member: ListedMember, now: ClockReadings) => boolean;
  /**
   * Whether the register names an entry of the member's process that was listed so recently that no
   * instance can have taken it off the register, even if `register` was read long ago.
   */
  isCounted: (member: ListedMember, options: CountingOptions) => boolean;
}

/** @public */
export interface CountingOptions {
  register: MemberRegister;
  now: ClockReadings;
}

interface Listing {
  member: ListedMember;
  listedAt: ClockReadings;
}

/** @public */
export function createRecentListings(): RecentListings {
  let listings: Listing[] = [];
  return {
    record: (members, completeAt) => {
      if (!completeAt) return;
      const others = listings.filter(
        (listing) => !members.some((member) => isSameEntry(listing.member, member)),
      );
      listings = [...others, ...members.map((member) => ({ member, listedAt: completeAt }))];
    },
    retain: (isKnown) => {
      listings = listings.filter(({ member }) => isKnown(member.memberId));
    },
    isRecent: (member, now) =>
      listings.some(
        (listing) => isSameEntry(listing.member, member) && isListingValid(listing.listedAt, now),
      ),
    isCounted: (member, { register, now }) =>
      listings.some(
        (listing) =>
          isSameLife(listing.member, member) &&
          listing.member.address === member.address &&
          isListingValid(listing.listedAt, now) &&
          register.members.some((other) => isSameListing(other, listing.member)),
      ),
  };
}

function isSameEntry(left: ListedMember, right: ListedMember): boolean {
  return left.address === right.address && isSameListing(left, right);
}
