/** Number of terms of a member set: at one change of primary a second, enough for three years. */
const TERMS_PER_MEMBER_SET = 100_000_000;

/**
 * Returns the number of the member set that a term belongs to.
 *
 * The terms of a later set are all higher. The members record terms, so a majority that records one of a
 * later set ends all acknowledgements and promotions by instances that use the former list.
 *
 * @internal
 */
export function getMemberSet(term: number): number {
  return Math.floor(term / TERMS_PER_MEMBER_SET);
}

/** Returns the number that is below all terms of the member set. @internal */
export function getTermBefore(memberSet: number): number {
  return memberSet * TERMS_PER_MEMBER_SET;
}
