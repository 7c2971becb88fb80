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
});

/** Consistency guarantee of reads of a database. @public */
export type Consistency = Route['consistency'];

/** Target group and limits for statements of a database; times in milliseconds. @public */
export type Route = z.infer<typeof routeSchema>;

/** Connection limits of one group. @public */
export type GroupLimits = z.infer<typeof groupLimitsSchema>;

/** One version of the gateway configuration. @public */
export interface GatewayConfiguration {
  version: number;
  routes: Map<string, Route>;
  groups: Map<string, GroupLimits>;
  /** Idle time after which an open transaction may be aborted, in milliseconds. */
  transactionIdle: number;
}

/** Serializes a configuration for another instance. */
export function encodeConfiguration({ routes, groups, ...rest }: GatewayConfiguration): string {
  return JSON.stringify({ ...rest, routes: [...routes.values()], groups: [...groups.values()] });
}

/** Parses a configuration received from another instance. @throws ZodError, SyntaxError */
export function decodeConfiguration(text: string): GatewayConfiguration {
  const { routes, groups, ...rest } = relayedConfigurationSchema.parse(JSON.parse(text));
  return {
    ...rest,
    routes: new Map(routes.map((route) => [route.database, route])),
    groups: new Map(groups.map((limits) => [limits.name, limits])),
  };
}
