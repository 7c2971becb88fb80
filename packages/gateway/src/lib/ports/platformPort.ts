import type { ClockReadings, MemberRegister, PromotionRecord } from '@wisterialift/pooling';
import type { GatewayConfiguration } from '../configuration/gatewayConfiguration';

/** A directory entry of one member. @public */
export interface DirectoryEntry {
  memberId: string;
  group: string;
  address: string;
  dataCentre: string;
  /** Whether the member reports itself as the primary. */
  isPrimary: boolean;
  isLeaving: boolean;
  /** Number of statements that the member runs concurrently. */
  slots: number;
  /** Increases with each change of the entry. */
  revision: number;
  /** Revision at which the entry was created; an entry that lapsed returns with another one. */
  createdRevision?: number;
  /** Start time of the member's process by its own time of day, if it reports one. */
  startedAt?: number;
}

/** Freshness of a directory snapshot. @public */
export interface DirectoryFreshness {
  /** Whether it includes every change accepted before the read; if not, it may be seconds old. */
  isFresh: boolean;
  /** Changes new in this snapshot were accepted after this time; undefined if none has been fresh. */
  changedAfter: ClockReadings | undefined;
  /** Every change accepted before this time is included; undefined if that is not known. */
  completeAt: ClockReadings | undefined;
}

/** Source of the directory of members. @public */
export interface DirectoryPort {
  /**
   * Calls `onChange` with the full directory at each change.
   *
   * @param options.onUnchanged - called when no change was accepted between the last call of
   *   `onChange` and `completeAt`.
   * @param options.onLost - called when the directory could not be read.
   * @param options.isPrompt - whether changes must arrive within the bounds of the platform; if
   *   not, occasional reads that may be seconds old are sufficient.
   */
  subscribe: (options: {
    onChange: (entries: DirectoryEntry[], freshness: DirectoryFreshness) => void;
    onUnchanged?: (completeAt: ClockReadings) => void;
    onLost?: () => void;
    isPrompt: () => boolean;
  }) => void;
  /**
   * Reads the directory again and calls `onChange` before it resolves.
   *
   * @throws Error if the store does not answer.
   */
  refresh: () => Promise<void>;
}

/** Source of configuration versions. @public */
export interface ConfigurationPort {
  /**
   * Calls `onChange` with each version.
   *
   * @param options.isPrompt - whether versions must arrive within the bounds of the platform; if
   *   not, they may arrive seconds late.
   * @param options.isInformed - whether other instances tell of new versions, so that versions that need
   *   not be prompt need not be read.
   */
  subscribe: (options: {
    onChange: (configuration: GatewayConfiguration) => void;
    isPrompt: () => boolean;
    isInformed: () => boolean;
  }) => void;
  /**
   * Reads the configuration again and calls `onChange` before it resolves.
   *
   * @throws Error if the store does not answer.
   */
  refresh: () => Promise<void>;
  /** Whether the last version was read fresh and later ones arrive promptly. */
  isFresh: () => boolean;
  /** Whether `isFresh` and the last call to the store was answered. */
  isCurrent: () => boolean;
}

/** A stored record and the revision to pass to the next replacement. @public */
export interface StoredRecord<Content> {
  record: Content;
  revision: number;
}

/** @public */
export type StoredPromotionRecord = StoredRecord<PromotionRecord>;

/** Outcome of a conditional replacement. @public */
export type ReplacementOutcome =
  | { type: 'replaced'; revision: number }
  | { type: 'conflict' }
  /** No answer: the replacement may have been applied or may still be. */
  | { type: 'unknown' };

/** Stores one record per group, with conditional updates. @public */
export interface RecordStore<Content, Readable = Content> {
  /** @throws Error if the store does not answer. */
  read: (group: string) => Promise<StoredRecord<Readable> | undefined>;
  /** Replaces the record if its revision matches; without a revision, creates it if none exists. */
  replace: (options: {
    group: string;
    record: Content;
    revision?: number;
  }) => Promise<ReplacementOutcome>;
}

/** Stores the promotion records. @public */
export type PromotionStore = RecordStore<PromotionRecord>;

/** Stores the registers of the groups' members; a damaged one is read as undefined. @public */
export type MemberRegisterStore = RecordStore<MemberRegister, MemberRegister | undefined>;

/** Outcome of a promotion order. @public */
export type PromotionOrderOutcome = 'accepted' | 'notRunning' | 'refused' | 'unknown';

/** Sends promotion orders to the service that executes them. @public */
export interface PromotionOrderClient {
  promote: (order: {
    group: string;
    memberId: string;
    /** Instance that holds the promotion claim. */
    holder: string;
    token: number;
    timeoutMilliseconds: number;
  }) => Promise<PromotionOrderOutcome>;
}
