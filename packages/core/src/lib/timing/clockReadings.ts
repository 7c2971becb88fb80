/** Readings of both clocks at the same moment, in milliseconds. @public */
export interface ClockReadings {
  /** Monotonic clock; stops while the machine is suspended. */
  monotonic: number;
  /** Wall clock; runs during a suspension but may be adjusted. */
  wall: number;
}
