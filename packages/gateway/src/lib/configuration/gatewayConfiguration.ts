import { z } from 'zod';

const routeSchema = z.object({
  database: z.string(),
  group: z.string(),
  /** Consistency guarantee of reads. */
  consistency: z.enum(['primary', 'boundedStaleness', 'readYourWrites']),
  /** Reads must include commits of other sessions older than this many ms; 0 for `primary`. */
  maximumStaleness: z.number(),
  /** Time limit of one statement. */
  timeout: z.number(),
  /** Target duration of an operation, excluding pauses of the caller. */
  goal: z.number(),
  /** Lower values are served first; 0 is the highest priority. */
  priority: z.number(),
  /** Whether callers need no key, and their statements belong to no team. */
  isPublic: z.boolean().default(false),
});

/** The shape of `RateLimit`. */
const rateLimitSchema = z.object({
  rate: z.number().nonnegative(),
  burst: z.number().nonnegative(),
});

const teamSchema = z.object({
  name: z.string(),
  /** Digests of the keys that identify callers of the team. */
  keyDigests: z.array(z.string()),
  /** Limit of the operations of all its callers, summed over all instances. */
  limit: rateLimitSchema.optional(),
});

const groupLimitsSchema = z.object({
  name: z.string(),
  /** Maximum connections to one member, summed over all instances. */
  maximumConnections: z.number(),
});

/** Wire format of a configuration exchanged between instances. */
const relayedConfigurationSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  groups: z.array(groupLimitsSchema),
  transactionIdle: z.number(),
  teams: z.array(teamSchema).optional(),
});

/** Consistency guarantee of reads of a database. @public */
export type Consistency = Route['consistency'];

/** Target group and limits for statements of a database; times in milliseconds. @public */
export type Route = Omit<z.infer<typeof routeSchema>, 'isPublic'> & { isPublic?: boolean };

/** A team of callers with its keys and its rate limit. @public */
export type Team = z.infer<typeof teamSchema>;

/** Teams by the digest of each of their keys and by name. @public */
export interface TeamDirectory {
  byKeyDigest: ReadonlyMap<string, Team>;
  byName: ReadonlyMap<string, Team>;
}

/** Connection limits of one group. @public */
export type GroupLimits = z.infer<typeof groupLimitsSchema>;

/** One version of the gateway configuration. @public */
export interface GatewayConfiguration {
  version: number;
  routes: Map<string, Route>;
  groups: Map<string, GroupLimits>;
  /** Idle time after which an open transaction may be aborted, in milliseconds. */
  transactionIdle: number;
  /** Undefined if callers are not identified by keys. */
  teams?: TeamDirectory;
}

/** Indexes teams by key and name. A key that two teams list belongs to the first. @public */
export function createTeamDirectory(teams: readonly Team[]): TeamDirectory {
  const byKeyDigest = new Map<string, Team>();
  for (const team of teams) {
    for (const digest of team.keyDigests) {
      if (!byKeyDigest.has(digest)) byKeyDigest.set(digest, team);
    }
  }
  return { byKeyDigest, byName: new Map(teams.map((team) => [team.name, team])) };
}

/** Serializes a configuration for another instance. */
export function encodeConfiguration(configuration: GatewayConfiguration): string {
  const { routes, groups, teams, ...rest } = configuration;
  return JSON.stringify({
    ...rest,
    routes: [...routes.values()],
    groups: [...groups.values()],
    teams: teams && [...teams.byName.values()],
  });
}

/** Parses a configuration received from another instance. @throws ZodError, SyntaxError */
export function decodeConfiguration(text: string): GatewayConfiguration {
  const { routes, groups, teams, ...rest } = relayedConfigurationSchema.parse(JSON.parse(text));
  return {
    ...rest,
    routes: new Map(routes.map((route) => [route.database, route])),
    groups: new Map(groups.map((limits) => [limits.name, limits])),
    teams: teams && createTeamDirectory(teams),
  };
}
