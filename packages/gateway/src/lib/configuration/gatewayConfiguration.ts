/** What reads of a database promise. @public */
export type Consistency = 'primary' | 'boundedStaleness' | 'readYourWrites';

/** Where the statements of a database name go, and on which terms. Times in milliseconds. @public */
export interface Route {
  database: string;
  group: string;
  consistency: Consistency;
  /** Age that other sessions' commits may have before a read must show them; 0 for `primary`. */
  maximumStaleness: number;
  /** Limit of one statement. */
  timeout: number;
  /** Time in which an operation should end, pauses of the caller left out. */
  goal: number;
  /** 0 goes first. */
  priority: number;
}

/** @public */
export interface GroupLimits {
  name: string;
  /** Connections that a member takes from all instances together. */
  maximumConnections: number;
}

/** One version of the configuration. @public */
export interface GatewayConfiguration {
  version: number;
  routes: Map<string, Route>;
  groups: Map<string, GroupLimits>;
  /** Milliseconds after which a transaction without a statement may be ended. */
  transactionIdle: number;
}
