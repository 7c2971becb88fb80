import { z } from 'zod';

const routeSchema = z.object({
  database: z.string(),
  group: z.string(),
  /** What reads of the database promise. */
  consistency: z.enum(['primary', 'boundedStaleness', 'readYourWrites']),
  /** Age that other sessions' commits may have before a read must show them; 0 for `primary`. */
  maximumStaleness: z.number(),
  /** Limit of one statement. */
  timeout: z.number(),
  /** Time in which an operation should end, pauses of the caller left out. */
  goal: z.number(),
  /** 0 goes first. */
  priority: z.number(),
});

const groupLimitsSchema = z.object({
  name: z.string(),
  /** Connections that a member takes from all instances together. */
  maximumConnections: z.number(),
});

/** A configuration as instances send it to each other. */
const sentConfigurationSchema = z.object({
  version: z.number(),
  routes: z.array(routeSchema),
  groups: z.array(groupLimitsSchema),
  transactionIdle: z.number(),
});

/** What reads of a database promise. @public */
export type Consistency = Route['consistency'];

/** Where the statements of a database name go, and on which terms. Times in milliseconds. @public */
export type Route = z.infer<typeof routeSchema>;

/** @public */
export type GroupLimits = z.infer<typeof groupLimitsSchema>;

/** One version of the configuration. @public */
export interface GatewayConfiguration {
  version: number;
  routes: Map<string, Route>;
  groups: Map<string, GroupLimits>;
  /** Milliseconds after which a transaction without a statement may be ended. */
  transactionIdle: number;
}

/** Writes a configuration for another instance. */
export function encodeConfiguration({ routes, groups, ...rest }: GatewayConfiguration): string {
  return JSON.stringify({ ...rest, routes: [...routes.values()], groups: [...groups.values()] });
}

/** Reads a configuration of another instance. @throws ZodError, SyntaxError */
export function decodeConfiguration(text: string): GatewayConfiguration {
  const { routes, groups, ...rest } = sentConfigurationSchema.parse(JSON.parse(text));
  return {
    ...rest,
    routes: new Map(routes.map((route) => [route.database, route])),
    groups: new Map(groups.map((limits) => [limits.name, limits])),
  };
}
