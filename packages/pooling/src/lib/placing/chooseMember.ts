/** What the choice of a member for a read needs to know of it. @public */
export interface MemberLoad {
  memberId: string;
  /** Expected time of an answer, in milliseconds. */
  latency: number;
  /** Statements of this instance that the member works at. */
  running: number;
  /** Milliseconds until it has applied what the read must see. */
  wait: number;
}

/**
 * Statements of this instance that count as much as one answer's time. The members' queues are
 * shared with other instances, whose statements show only in the latency; at 2, an instance with
 * three statements running leaves a member of its data centre for one that is 25 ms away.
 */
const RUNNING_SCALE = 2;

/** Orders members for a read, the best first. @public */
export function orderMembersForRead<Member extends MemberLoad>(members: Member[]): Member[] {
  return [...members].sort((left, right) => costOf(left) - costOf(right));
}

function costOf({ latency, running, wait }: MemberLoad): number {
  return latency * (1 + running / RUNNING_SCALE) + wait;
}
