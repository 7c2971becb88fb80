import type { z } from 'zod';

/** One fault of a configuration: where it is and what would be accepted. @public */
export interface ConfigurationFault {
  /** Dotted path, for example `groups.archivio-1.databases.0.port`; empty for the whole. */
  path: string;
  reason: string;
}

/** Turns what the validator found into faults, one for each unknown key. */
export function describeFaults(error: z.ZodError): ConfigurationFault[] {
  return error.issues.flatMap(describeIssue);
}

function describeIssue(issue: z.core.$ZodIssue): ConfigurationFault[] {
  const path = issue.path.join('.');
  if (issue.code !== 'unrecognized_keys') return [{ path, reason: issue.message }];
  return issue.keys.map((key) => ({
    path: path ? `${path}.${key}` : key,
    reason: 'unknown key',
  }));
}
