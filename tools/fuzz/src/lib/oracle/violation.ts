/** One broken guarantee, whatever kind of history broke it. @public */
export interface GuaranteeViolation {
  guarantee: string;
  /** Milliseconds from the start of the history. */
  at: number;
  detail: string;
}
