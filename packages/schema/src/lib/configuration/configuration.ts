import { z } from 'zod';

const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower case letters, digits, hyphens');
const portSchema = z.number().int().min(1).max(65_535);

/** A database of an upstream group. @public */
export const databaseSchema = z.strictObject({
  name: nameSchema,
  host: z.string().min(1),
  port: portSchema,
  dataCentre: nameSchema,
  /** Connections that the database accepts from all instances together. */
  connectionLimit: z.number().int().min(1).max(100_000),
  /** Statements that the database runs in parallel. */
  slots: z.number().int().min(1).max(10_000),
  /** A leaving database receives no new statements. */
  leaving: z.boolean().default(false),
});

/** @public */
export type Database = z.infer<typeof databaseSchema>;

/** Terms are 100 million times this number at most, which a 64-bit floating-point number holds exactly. */
const MAXIMUM_MEMBER_SET = 90_000_000;

/** An upstream database group: one primary and its replicas. @public */
export const upstreamGroupSchema = z.strictObject({
  databases: z.array(databaseSchema).min(1).max(9),
  /**
   * Number of the configuration that last added, removed or moved a database; set when a patch is accepted.
   * A patch may raise it, for example for databases whose terms belong to a configuration that was lost.
   */
  memberSet: z.number().int().min(0).max(MAXIMUM_MEMBER_SET).optional(),
  /** Account that instances use to connect to the databases of the group. */
  user: z.string().min(1),
  password: z.string(),
});

/** @public */
export type UpstreamGroup = z.infer<typeof upstreamGroupSchema>;

/** Credentials of a caller, and the groups that it may use. @public */
export const callerSchema = z.strictObject({
  /** SHA-1 of the SHA-1 of the password, hexadecimal, as stored by `mysql_native_password`. */
  passwordHash: z.string().regex(/^[0-9a-f]{40}$/, '40 lower case hexadecimal digits'),
  groups: z.array(nameSchema).min(1),
  /** Maximum concurrent connections of this caller per instance. */
  connectionLimit: z.number().int().min(1).max(1_000_000).default(1_000),
  /** Relative share of the service of queued requests, and of the places in a full queue. */
  weight: z.number().int().min(1).max(100).default(1),
});

/** @public */
export type Caller = z.infer<typeof callerSchema>;

/** How requests of one kind are served. @public */
export const requestKindSchema = z.strictObject({
  /** Maximum age of the data that is read; 0 gives read-your-writes consistency. */
  maximumStalenessMilliseconds: z.number().int().min(0).max(86_400_000).default(0),
  /**
   * Time from arrival within which the answer must begin; a long one must go on within the same time of
   * each of its parts.
   */
  deadlineMilliseconds: z.number().int().min(1).max(600_000).default(5_000),
  /** Among the queued requests of one caller, those with a larger number are served first. */
  priority: z.number().int().min(0).max(9).default(5),
  /** A request that is not repeatable is sent to a database at most once. */
  isRepeatable: z.boolean().default(true),
});

/** @public */
export type RequestKind = z.infer<typeof requestKindSchema>;

/** A service level objective that the error budget report measures. @public */
export const serviceLevelSchema = z.strictObject({
  name: nameSchema,
  group: nameSchema,
  kind: nameSchema,
  /** Fraction of requests that must be good, for example 0.999. */
  objective: z.number().min(0.5).max(0.999_999),
  /** A request is good if it is answered within this time and without a system error. */
  latencyMilliseconds: z.number().int().min(1).max(600_000),
});

/** @public */
export type ServiceLevel = z.infer<typeof serviceLevelSchema>;

/** Kind of a request that does not specify one. @public */
export const DEFAULT_REQUEST_KIND = 'default';

/**
 * The complete shared configuration.
 *
 * @public
 */
export const configurationSchema = z
  .strictObject({
    groups: z.record(nameSchema, upstreamGroupSchema),
    callers: z.record(nameSchema, callerSchema),
    kinds: z.record(nameSchema, requestKindSchema).default({}),
    serviceLevels: z.array(serviceLevelSchema).default([]),
  })
  .superRefine((configuration, context) => {
    checkReferences(configuration, (path, message) => {
      context.addIssue({ code: 'custom', path, message });
    });
  });

/** @public */
export type Configuration = z.infer<typeof configurationSchema>;

type ReportIssue = (path: (string | number)[], message: string) => void;

interface ConfigurationReferences {
  groups: Record<string, UpstreamGroup>;
  callers: Record<string, Caller>;
  kinds: Record<string, RequestKind>;
  serviceLevels: ServiceLevel[];
}

function checkReferences(configuration: ConfigurationReferences, reportIssue: ReportIssue): void {
  Object.entries(configuration.groups).forEach(([group, { databases }]) => {
    checkDatabaseNames(group, databases, reportIssue);
  });
  Object.entries(configuration.callers).forEach(([caller, { groups }]) => {
    groups.forEach((group, index) => {
      if (Object.hasOwn(configuration.groups, group)) return;
      reportIssue(['callers', caller, 'groups', index], `no group is named "${group}"`);
    });
  });
  configuration.serviceLevels.forEach((level, index) => {
    if (!Object.hasOwn(configuration.groups, level.group)) {
      reportIssue(['serviceLevels', index, 'group'], `no group is named "${level.group}"`);
    }
    if (level.kind !== DEFAULT_REQUEST_KIND && !Object.hasOwn(configuration.kinds, level.kind)) {
      reportIssue(['serviceLevels', index, 'kind'], `no kind is named "${level.kind}"`);
    }
  });
}

function checkDatabaseNames(group: string, databases: Database[], reportIssue: ReportIssue): void {
  const names = new Set<string>();
  databases.forEach(({ name }, index) => {
    if (names.has(name)) {
      reportIssue(['groups', group, 'databases', index, 'name'], `"${name}" is used twice`);
    }
    names.add(name);
  });
}
