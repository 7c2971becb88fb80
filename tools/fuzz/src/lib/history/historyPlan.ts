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
  /** The caller goes away this long after it sent the request; never where absent. */
  cancelAfterMilliseconds?: number;
}

/** @public */
export interface SessionPlan {
  /** Sends the position of its writes with its reads. */
  carriesToken: boolean;
  /** When it sends its first operation. */
  startMilliseconds: number;
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

/** Planned changes that the random histories leave out; no two of them overlap. @public */
export const MEMBERSHIP_KINDS = ['databaseRemoved'] as const;

/** @public */
export type FaultKind = (typeof FAULT_KINDS)[number] | (typeof MEMBERSHIP_KINDS)[number];

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
  /** Time within which the proxies have to answer the sessions' requests. */
  deadlineMilliseconds: number;
  /** Accepted age of stale reads. */
  stalenessMilliseconds: number;
  sessions: SessionPlan[];
  faults: FaultPlan[];
}

/** What one history draws from. */
interface Palette {
  operationKinds: OperationKind[];
  faultKinds: (typeof FAULT_KINDS)[number][];
  /** Longest pause between two operations of a session. */
  longestPauseMilliseconds: number;
}

const paletteArbitrary: fc.Arbitrary<Palette> = fc.record({
  operationKinds: fc.subarray([...OPERATION_KINDS], { minLength: 1 }),
  faultKinds: fc.subarray([...FAULT_KINDS], { minLength: 1 }),
  longestPauseMilliseconds: fc.constantFrom(10, 60, 250),
});

const faultArbitrary = ({ faultKinds }: Palette): fc.Arbitrary<FaultPlan> =>
  fc.record({
    kind: fc.constantFrom(...faultKinds),
    at: fc.integer({ min: 0, max: FAULT_WINDOW_MILLISECONDS }),
    durationMilliseconds: fc.integer({ min: 20, max: 3_000 }),
    // The primary is hit as often as all members by number together.
    member: fc.oneof(fc.nat(MEMBERS - 1), fc.constant(PRIMARY_TARGET)),
    proxy: fc.nat(PROXIES - 1),
  });

const sessionArbitrary = (palette: Palette): fc.Arbitrary<SessionPlan> =>
  fc.record({
    carriesToken: fc.boolean(),
    startMilliseconds: fc.nat(FAULT_WINDOW_MILLISECONDS),
    operations: fc.array(
      fc.record({
        kind: fc.constantFrom(...palette.operationKinds),
        pauseMilliseconds: fc.nat(palette.longestPauseMilliseconds),
        proxy: fc.nat(PROXIES - 1),
        isConcurrent: fc.boolean(),
        cancelAfterMilliseconds: fc.option(fc.nat(100), { freq: 9, nil: undefined }),
      }),
      { maxLength: 60, size: 'max' },
    ),
  });

const planArbitrary = (palette: Palette): fc.Arbitrary<HistoryPlan> =>
  fc.record({
    seed: fc.nat(),
    delayMilliseconds: fc.constantFrom(1, 5, 12),
    jitterMilliseconds: fc.constantFrom(1, 4, 20),
    hasLonelyLists: fc.boolean(),
    deadlineMilliseconds: fc.constantFrom(80, 400, 1_500, 1_500),
    stalenessMilliseconds: fc.constantFrom(60, 400),
    sessions: fc.array(sessionArbitrary(palette), { minLength: 1, maxLength: 8, size: 'max' }),
    faults: fc.array(faultArbitrary(palette), { maxLength: 8, size: 'max' }),
  });

/**
 * Arbitrary histories; the smaller ones that shrinking tries are histories too.
 *
 * Each draws from a palette of its own (swarm testing): a history of few kinds of fault meets the
 * same coincidence many times, where one of all kinds spreads thin. Without the bias to small
 * values, since a history of few requests proves little.
 *
 * @public
 */
export const historyArbitrary: fc.Arbitrary<HistoryPlan> = fc.noBias(
  paletteArbitrary.chain(planArbitrary),
);
