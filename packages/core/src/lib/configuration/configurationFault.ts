import type { z } from 'zod';

/** A validation error in a configuration. @public */
export interface ConfigurationFault {
  /** Dotted path, for example `groups.archivio-1.databases.0.port`; empty for the root. */
  path: string;
  reason: string;
}

/** Converts schema validation issues into faults, with one fault per unknown key. @internal */
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
