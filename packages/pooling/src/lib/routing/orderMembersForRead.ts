/** Load and latency of a member, for routing a read. @public */
export interface MemberLoad {
  memberId: string;
  /** Expected latency of an answer, in milliseconds. */
  latency: number;
  /** Statements of this instance that are running on the member or queued for it. */
  load: number;
  /** Statements of this instance that the member can run in parallel. */
  capacity: number;
  /** Milliseconds until a connection is available. */
  delay: number;
  /** Milliseconds until the member has applied the position that the read requires. */
  wait: number;
  /** Whether some statements can run only on this member, such as writes on the primary. */
  hasExclusiveStatements: boolean;
}

/**
 * Number of this instance's statements that a member is assumed to run in parallel. Lower than the
 * real number, because statements of other instances are not counted in `load`. At 2, an instance with
 * three statements running prefers a member that is 25 ms further away.
 */
const ASSUMED_PARALLEL_STATEMENTS = 2;

/**
 * A read goes to the primary only if all replicas would take longer by this factor, since writes
 * can go nowhere else.
 */
const EXCLUSIVE_MEMBER_TIME_FACTOR = 2;

/**
 * Orders members by the time at which they are expected to answer a read, fastest first.
 *
 * @public
 */
export function orderMembersForRead<Member extends MemberLoad>(members: Member[]): Member[] {
  return [...members].sort((left, right) => estimateAnswerTime(left) - estimateAnswerTime(right));
}

/**
 * Expected time until a read is answered, in milliseconds.
 *
 * Capacity limits the estimate: an instance with one connection runs its statements one at a time.
 * Without it, reads queued for a primary that accepted few connections after a loss of all instances,
 * while replicas had room.
 */
function estimateAnswerTime(member: MemberLoad): number {
  const { latency, load, capacity, delay, wait, hasExclusiveStatements } = member;
  const latenciesInQueue = load / Math.max(1, Math.min(ASSUMED_PARALLEL_STATEMENTS, capacity));
  const time = latency * (1 + latenciesInQueue) + delay + wait;
  return hasExclusiveStatements ? time * EXCLUSIVE_MEMBER_TIME_FACTOR : time;
}
