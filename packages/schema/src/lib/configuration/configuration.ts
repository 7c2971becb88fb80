import { z } from 'zod';

const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower case letters, digits, hyphens');
const portSchema = z.number().int().min(1).max(65_535);

/** One database of an upstream group. @public */
export const databaseSchema = z.strictObject({
  name: nameSchema,
  host: z.string().min(1),
  port: portSchema,
  dataCentre: nameSchema,
  /** Connections that the database accepts in all, from every instance together. */
  connectionLimit: z.number().int().min(1).max(100_000),
  /** Statements that the database runs at the same time. */
  slots: z.number().int().min(1).max(10_000),
  /** A leaving database receives no new work. */
  leaving: z.boolean().default(false),
});

/** @public */
export type Database = z.infer<typeof databaseSchema>;

/** An upstream database group: one primary and its replicas. @public */
export const upstreamGroupSchema = z.strictObject({
  databases: z.array(databaseSchema).min(1).max(9),
  /** Account that the proxies use at the databases of the group. */
  user: z.string().min(1),
  password: z.string(),
});

/** @public */
export type UpstreamGroup = z.infer<typeof upstreamGroupSchema>;

/** Who may connect, and to which groups. @public */
export const callerSchema = z.strictObject({
  /** Hexadecimal SHA-1 of the SHA-1 of the password, as `mysql_native_password` stores it. */
  passwordHash: z.string().regex(/^[0-9a-f]{40}$/, '40 lower case hexadecimal digits'),
  groups: z.array(nameSchema).min(1),
  /** Connections of this caller that one instance accepts at the same time. */
  connectionLimit: z.number().int().min(1).max(1_000_000).default(1_000),
  /** Share of a full queue relative to the other callers. */
  weight: z.number().int().min(1).max(100).default(1),
});

/** @public */
export type Caller = z.infer<typeof callerSchema>;

/** How requests of one kind are served. @public */
export const requestKindSchema = z.strictObject({
  /** Accepted age of the data in milliseconds; 0 asks for read-your-writes. */
  maximumStalenessMilliseconds: z.number().int().min(0).max(86_400_000).default(0),
  /** Time from arrival within which the request is answered. */
  deadlineMilliseconds: z.number().int().min(1).max(600_000).default(5_000),
  /** Higher goes first when a queue is full. */
  priority: z.number().int().min(0).max(9).default(5),
  /** A request that is not repeatable is sent to a database at most once. */
  isRepeatable: z.boolean().default(true),
});

/** @public */
export type RequestKind = z.infer<typeof requestKindSchema>;

/** A promise on the share of good requests that the burn report measures. @public */
export const serviceLevelSchema = z.strictObject({
  name: nameSchema,
  group: nameSchema,
  kind: nameSchema,
  /** Share of requests that must be good, for example 0.999. */
  objective: z.number().min(0.5).max(0.999_999),
  /** A request is good when it is answered without an error of the system within this time. */
  latencyMilliseconds: z.number().int().min(1).max(600_000),
});

/** @public */
export type ServiceLevel = z.infer<typeof serviceLevelSchema>;

/** The kind of a request that names none. @public */
export const DEFAULT_KIND = 'default';

/**
 * The shared configuration, whole: groups, callers, kinds of request and service levels.
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

type ReportFault = (path: (string | number)[], message: string) => void;

interface References {
  groups: Record<string, UpstreamGroup>;
  callers: Record<string, Caller>;
  kinds: Record<string, RequestKind>;
  serviceLevels: ServiceLevel[];
}

function checkReferences(configuration: References, reportFault: ReportFault): void {
  Object.entries(configuration.groups).forEach(([group, { databases }]) => {
    checkDatabaseNames(group, databases, reportFault);
  });
  Object.entries(configuration.callers).forEach(([caller, { groups }]) => {
    groups.forEach((group, index) => {
      if (group in configuration.groups) return;
      reportFault(['callers', caller, 'groups', index], `no group is named "${group}"`);
    });
  });
  configuration.serviceLevels.forEach((level, index) => {
    if (!(level.group in configuration.groups)) {
      reportFault(['serviceLevels', index, 'group'], `no group is named "${level.group}"`);
    }
    if (level.kind !== DEFAULT_KIND && !(level.kind in configuration.kinds)) {
      reportFault(['serviceLevels', index, 'kind'], `no kind is named "${level.kind}"`);
    }
  });
}

function checkDatabaseNames(group: string, databases: Database[], reportFault: ReportFault): void {
  const names = new Set<string>();
  databases.forEach(({ name }, index) => {
    if (names.has(name)) {
      reportFault(['groups', group, 'databases', index, 'name'], `"${name}" is used twice`);
    }
    names.add(name);
  });
}
