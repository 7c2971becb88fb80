import type { ClockReadings, PromotionRecord } from '@wisterialift/pooling';
import type { GatewayConfiguration } from '../configuration/gatewayConfiguration';

/** A member of a group as the directory lists it. @public */
export interface DirectoryEntry {
  memberId: string;
  group: string;
  address: string;
  dataCentre: string;
  /** Whether the member sees itself as the primary. */
  isPrimary: boolean;
  isLeaving: boolean;
  /** Statements that it works at side by side. */
  slots: number;
  /** Rises with each change of the entry. */
  revision: number;
  /** When the member's present life began, by its own time of day; undefined where it tells none. */
  startedAt?: number;
}

/** How old what a look at the directory brought may be. @public */
export interface DirectoryAge {
  /** Whether it holds all that was accepted before the look; otherwise it may be seconds old. */
  isFresh: boolean;
  /** What is new was accepted after this time; undefined where the directory was never known whole. */
  newSince: ClockReadings | undefined;
}

/** Tells which members there are. @public */
export interface DirectoryPort {
  /**
   * Calls back with the whole directory at each change.
   *
   * @param options.isPrompt - whether changes must be known as soon as the platform's bounds ask;
   *   otherwise a look now and then, which may be seconds old, is enough.
   */
  follow: (options: {
    onChange: (entries: DirectoryEntry[], age: DirectoryAge) => void;
    isPrompt: () => boolean;
  }) => void;
}

/** @public */
export interface ConfigurationPort {
  follow: (onChange: (configuration: GatewayConfiguration) => void) => void;
}

/** A stored record and the revision that the next replacement must name. @public */
export interface StoredRecord {
  record: PromotionRecord;
  revision: number;
}

/** Outcome of a conditional replacement. @public */
export type ReplaceOutcome =
  | { type: 'replaced'; revision: number }
  | { type: 'conflict' }
  /** No answer: it may have been replaced, now or later. */
  | { type: 'unknown' };

/** Keeps a record for each group that all instances agree on. @public */
export interface PromotionStore {
  /** @throws where the store does not answer. */
  read: (group: string) => Promise<StoredRecord | undefined>;
  /** Without a revision, the record must not exist yet. */
  replace: (options: {
    group: string;
    record: PromotionRecord;
    revision?: number;
  }) => Promise<ReplaceOutcome>;
}

/** Outcome of an order to promote. @public */
export type OrderOutcome = 'accepted' | 'notRunning' | 'refused' | 'unknown';

/** Has a member promoted by the party that may do so. @public */
export interface PromotionOrders {
  promote: (order: {
    group: string;
    memberId: string;
    holder: string;
    token: number;
    timeoutMilliseconds: number;
  }) => Promise<OrderOutcome>;
}
