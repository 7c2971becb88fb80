/** Optimizations that experiments can disable one at a time to measure their effect. @public */
export const MECHANISMS = [
  /** Sends a slow read to a second member as well. */
  'hedging',
  /** Lets a read wait for a replica that will soon have applied the required position. */
  'waitingForReplicas',
  /** Sends a read to a replica whose lag measurement is out of date. */
  'trialReads',
  /** Tries the other members before refusing a read because the chosen member is full. */
  'secondChoice',
  /** Reconsiders the other members while a read is queued. */
  'lookingAgain',
  /** Limits the queueing time to a part of the goal while a queue persists. */
  'shortQueueInOverload',
  /** Keeps reads that replicas can serve away from the primary. */
  'reservedPrimary',
  /** Determines the minimum read position of a group before the first read needs it. */
  'lookingAhead',
  /** Closes idle connections above the fair share early, freeing them for other instances. */
  'closingIdle',
  /** Prefers members to which a team has an idle connection for its reads. */
  'readingWhereConnected',
  /** Shares the connections of a few instances if members accept too few for all. */
  'holders',
  /** Sends a statement to another holder if the nearest is partitioned from the members. */
  'otherHolders',
] as const;

/** @public */
export type Mechanism = (typeof MECHANISMS)[number];

/** Returns whether a mechanism is enabled. */
export type IsMechanismEnabled = (mechanism: Mechanism) => boolean;
