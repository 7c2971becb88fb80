/** How a fault strikes. */
export interface FaultStrike {
  /** In milliseconds. */
  duration: number;
  /** Chooses whom it strikes. */
  target: number;
}
