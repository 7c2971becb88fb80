import { loadControlsSchema } from '@wisterialift/gateway';
import { z } from 'zod';

/** Times are in milliseconds, shares between 0 and 1. */
const time = z.number().nonnegative();
const share = z.number().min(0).max(1);

const kindSchema = z.strictObject({
  name: z.string().regex(/^[a-z-]+$/),
  consistency: z.enum(['primary', 'boundedStaleness', 'readYourWrites']),
  /** Part of all operations, relative to the other kinds. */
  share: z.number().positive(),
  /** Work of one statement at a database: median of a log-normal time, its spread, its longest. */
  work: time,
  workSpread: z.number().min(0).default(0.7),
  longestWork: time,
  goal: time,
  deadline: time,
  timeout: time,
  maximumStaleness: time.default(0),
  priority: z.number().int().nonnegative(),
  worth: z.number().positive(),
  lateWorth: z.number().nonnegative(),
  retries: z.number().int().nonnegative().default(2),
  writeShare: share,
  transactionShare: share,
  longestTransaction: z.number().int().min(2).default(6),
  /** Transactions that only read and still begin as those that write do. */
  plainReadShare: share.default(0),
  /** Whether the caller goes on with its session, or opens one for each operation. */
  keepsSession: z.boolean().default(true),
});

const faultSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('lag'),
    at: z.number(),
    seconds: z.number(),
    /** Replicas that fall behind, of those that each group has. */
    replicas: z.number().int().positive(),
    groups: z.number().int().positive().optional(),
    milliseconds: time,
  }),
  z.strictObject({ kind: z.literal('powerOffAll'), at: z.number(), seconds: z.number() }),
  z.strictObject({ kind: z.literal('killAll'), at: z.number() }),
  z.strictObject({ kind: z.literal('killInstance'), at: z.number(), count: z.number().int() }),
  z.strictObject({ kind: z.literal('powerOffInstance'), at: z.number(), seconds: z.number() }),
  z.strictObject({ kind: z.literal('rollingStops'), at: z.number(), pause: z.number() }),
  z.strictObject({ kind: z.literal('storeDown'), at: z.number(), seconds: z.number() }),
  z.strictObject({
    kind: z.literal('darkPrimary'),
    at: z.number(),
    seconds: z.number(),
    /** Whether it comes back at its address under a new id. */
    isRenamed: z.boolean().optional(),
  }),
  z.strictObject({
    kind: z.literal('leave'),
    at: z.number(),
    /** Time from the word that it leaves until it ends. */
    seconds: z.number(),
    role: z.enum(['primary', 'replica']).default('primary'),
    /** Whether it ends for good; another life of it follows otherwise. */
    isFinal: z.boolean().optional(),
    groups: z.number().int().positive().optional(),
  }),
  z.strictObject({
    kind: z.literal('deafReplicas'),
    at: z.number(),
    /** Time in which they receive nothing, although they answer. */
    seconds: z.number(),
    /** How many of each group, those that leave last. */
    replicas: z.number().int().positive().default(1),
    groups: z.number().int().positive().optional(),
  }),
  z.strictObject({
    kind: z.literal('lapse'),
    at: z.number(),
    /** Time in which the store does not hear the member, whose entry lapses meanwhile. */
    seconds: z.number(),
    role: z.enum(['primary', 'replica']).default('replica'),
    groups: z.number().int().positive().optional(),
  }),
  z.strictObject({
    kind: z.literal('loseReplicas'),
    at: z.number(),
    /** Time after which they are back with the log that they had; for good where left out. */
    seconds: z.number().optional(),
    /** Time from the return of one to the return of the next. */
    pause: z.number().optional(),
    groups: z.number().int().positive().optional(),
  }),
  z.strictObject({
    kind: z.literal('lateDirectory'),
    at: z.number(),
    seconds: z.number(),
    /** Time by which changes of the directory reach the instances later. */
    milliseconds: time,
    /** Instances that it strikes; all where left out. */
    instances: z.number().int().positive().optional(),
  }),
  z.strictObject({
    kind: z.literal('storeCut'),
    at: z.number(),
    seconds: z.number(),
    /** Instances that the store does not answer. */
    instances: z.number().int().positive(),
  }),
  z.strictObject({
    kind: z.literal('cutPrimary'),
    at: z.number(),
    seconds: z.number(),
    /** Instances that still reach the primary; the others and its replicas do not. */
    instances: z.number().int().nonnegative(),
    /** Whether the primary still reaches its replicas, so that only instances are cut from it. */
    isReplicating: z.boolean().optional(),
    /** Whether the instances that still reach the primary do not reach its replicas. */
    isSplit: z.boolean().optional(),
    /** Whether the store does not hear the primary either, so that its entry lapses. */
    isUnlisted: z.boolean().optional(),
    /** Whether connections over the cut are reset and new ones refused, instead of falling silent. */
    isRefusing: z.boolean().optional(),
    groups: z.number().int().positive().optional(),
  }),
  z.strictObject({
    kind: z.literal('partition'),
    at: z.number(),
    seconds: z.number(),
    /**
     * Data centres and databases that do not reach those on the right, or all others if there are none.
     * A later partition takes the place of an earlier one.
     */
    left: z.array(z.string()).min(1),
    right: z.array(z.string()).default([]),
  }),
  z.strictObject({
    kind: z.literal('restartEmpty'),
    at: z.number(),
    /** Which member of each group, the primary being 0. */
    member: z.number().int().nonnegative(),
  }),
  z.strictObject({
    kind: z.literal('slowDatabase'),
    at: z.number(),
    seconds: z.number(),
    factor: z.number().positive(),
    member: z.number().int().nonnegative().default(1),
  }),
  z.strictObject({
    kind: z.literal('failingDatabase'),
    at: z.number(),
    seconds: z.number(),
    /** Share of the statements of callers that it fails; its control commands run well. */
    share,
    /** Whether it answers with a failure, closes the connection or falls silent. */
    manner: z.enum(['failed', 'closed', 'silent']).default('failed'),
    /** Time that a statement that fails occupies a slot. */
    milliseconds: time.default(2),
    /** Members of the first group that fail, the primary being 0. */
    members: z.array(z.number().int().nonnegative()).min(1).default([1]),
  }),
  z.strictObject({
    kind: z.literal('busyTeam'),
    at: z.number(),
    seconds: z.number(),
    /** Rank of the team by its usual load, from 1. */
    rank: z.number().int().positive(),
    /** Its load, relative to the usual one. */
    factor: z.number().positive(),
  }),
  z.strictObject({
    kind: z.literal('revokeTeam'),
    at: z.number(),
    rank: z.number().int().positive(),
  }),
  z.strictObject({
    kind: z.literal('changeLimit'),
    at: z.number(),
    rank: z.number().int().positive(),
    /** New limit, relative to the former one. */
    factor: z.number().nonnegative(),
  }),
  z.strictObject({
    kind: z.literal('lostAnswers'),
    at: z.number(),
    seconds: z.number(),
    share,
  }),
]);

/** What is played: a deployment, its load and its faults. @public */
export const experimentSchema = z.strictObject({
  name: z.string(),
  about: z.string(),
  seconds: z.number().positive(),
  seeds: z.array(z.number().int()).min(1),
  deployment: z.strictObject({
    dataCentres: z
      .array(
        z.strictObject({
          name: z.string(),
          instances: z.number().int().positive(),
          /** Operations a second that its callers ask for. */
          load: z.number().nonnegative(),
        }),
      )
      .min(1),
    /** Data centre of the platform; the first one where left out. */
    platformDataCentre: z.string().optional(),
    groups: z.number().int().positive(),
    members: z.number().int().min(1).default(3),
    slots: z.number().int().positive(),
    queueLength: z.number().int().nonnegative().default(24),
    maximumConnections: z.number().int().positive(),
    handshakeTime: time.default(12),
    lag: time,
    promoteTime: time,
    /** Replicas that must have received a commit before the primary answers it. */
    synchronousReplicas: z.number().int().nonnegative().default(0),
    /** Time from the start of an instance's process until it listens. */
    startTime: time,
    sameDataCentreDelay: time.default(0.2),
    otherDataCentreDelay: time,
    callerDelay: time,
    /** Load controls that the deployment enables. */
    loadControls: loadControlsSchema.prefault([]),
    teams: z
      .strictObject({
        count: z.number().int().positive(),
        /** Limit of a team, relative to its usual load. */
        headroom: z.number().positive(),
      })
      .optional(),
  }),
  load: z
    .strictObject({
      factor: z.number().positive().default(1),
      /** Whether callers return at the time that a refusal states instead of after their own pause. */
      followsReturnTime: z.boolean().default(false),
      /** Whether sessions set variables and run prepared statements, all with texts of any bytes. */
      drawsTexts: z.boolean().default(false),
    })
    .prefault({}),
  kinds: z.array(kindSchema).min(1),
  faults: z.array(faultSchema).default([]),
});

/** @public */
export type Experiment = z.infer<typeof experimentSchema>;

/** @public */
export type RequestKind = Experiment['kinds'][number];

/** @public */
export type PlannedFault = Experiment['faults'][number];
