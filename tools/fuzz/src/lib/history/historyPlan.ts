import fc from 'fast-check';

/** What a session does next. @public */
export const OPERATION_KINDS = [
  'write',
  'uniqueWrite',
  'failingWrite',
  'read',
  'staleRead',
  'transaction',
] as const;

/** @public */
export type OperationKind = (typeof OPERATION_KINDS)[number];

/** One request, or one transaction, of a session. @public */
export interface Operation {
  kind: OperationKind;
  /** Pause before it. */
  pauseMilliseconds: number;
  /** Number of the proxy that the session is connected to for it. */
  proxy: number;
  /** The session goes on without waiting for the answer, through another proxy. */
  isConcurrent: boolean;
}

/** @public */
export interface SessionPlan {
  /** Sends the position of its writes with its reads. */
  carriesToken: boolean;
  operations: Operation[];
}

/** @public */
export const FAULT_KINDS = [
  'databaseCrash',
  'databaseFreeze',
  'databaseCutFromGroup',
  'databaseCutFromProxies',
  'databaseCutFromOneProxy',
  'databaseIsolated',
  'answersCutFromOneProxy',
  'replicationLag',
  'lossyLinks',
  'slowLinks',
  'answerLostBeforeEffect',
  'answerLostAfterEffect',
  'connectionsRefused',
  'proxyCrash',
  'proxyFreeze',
  'proxyDrain',
  'databaseLeaving',
  'platformOutage',
  'twoDatabasesCrash',
] as const;

/** @public */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** A fault that strikes at a time and ends by itself, at the latest when the history heals. @public */
export interface FaultPlan {
  kind: FaultKind;
  /** Milliseconds from the start of the faults. */
  at: number;
  durationMilliseconds: number;
  /** Number of a member; {@link PRIMARY_TARGET} means the primary of the time. */
  member: number;
  proxy: number;
}

/** Stands for whichever member is the primary when the fault strikes. @public */
export const PRIMARY_TARGET = 3;
/** Members and proxies of a history. @public */
export const MEMBERS = 3;
/** @public */
export const PROXIES = 3;
/** Time in which faults strike, in milliseconds. @public */
export const FAULT_WINDOW_MILLISECONDS = 4_000;

/** A whole history; the same plan gives the same history. @public */
export interface HistoryPlan {
  /** Seed of delays and of the proxies' own random numbers. */
  seed: number;
  delayMilliseconds: number;
  jitterMilliseconds: number;
  /** Each proxy's list of instances shows that proxy alone, so that no order of turns helps. */
  hasLonelyLists: boolean;
  sessions: SessionPlan[];
  faults: FaultPlan[];
}

const operationArbitrary: fc.Arbitrary<Operation> = fc.record({
  kind: fc.constantFrom(...OPERATION_KINDS),
  pauseMilliseconds: fc.oneof(fc.integer({ min: 0, max: 20 }), fc.integer({ min: 0, max: 250 })),
  proxy: fc.nat(PROXIES - 1),
  isConcurrent: fc.boolean(),
});

const sessionArbitrary: fc.Arbitrary<SessionPlan> = fc.record({
  carriesToken: fc.boolean(),
  operations: fc.array(operationArbitrary, { maxLength: 60, size: 'max' }),
});

const faultArbitrary: fc.Arbitrary<FaultPlan> = fc.record({
  kind: fc.constantFrom(...FAULT_KINDS),
  at: fc.integer({ min: 0, max: FAULT_WINDOW_MILLISECONDS }),
  durationMilliseconds: fc.integer({ min: 20, max: 3_000 }),
  // The primary is hit as often as all members by number together.
  member: fc.oneof(fc.nat(MEMBERS - 1), fc.constant(PRIMARY_TARGET)),
  proxy: fc.nat(PROXIES - 1),
});

/**
 * Arbitrary histories; the smaller ones that shrinking tries are histories too. Without the bias to
 * small values, since a history of few requests proves little.
 *
 * @public
 */
export const historyArbitrary: fc.Arbitrary<HistoryPlan> = fc.noBias(
  fc.record({
    seed: fc.nat(),
    delayMilliseconds: fc.constantFrom(1, 5, 12),
    jitterMilliseconds: fc.constantFrom(1, 4, 20),
    hasLonelyLists: fc.boolean(),
    sessions: fc.array(sessionArbitrary, { minLength: 1, maxLength: 8, size: 'max' }),
    faults: fc.array(faultArbitrary, { maxLength: 8, size: 'max' }),
  }),
);
