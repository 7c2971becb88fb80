import { createHash } from 'node:crypto';
import type { ConfigurationObject, Database } from '@wisterialift/schema';
import type { TrialOptions } from './trialOptions';

/** Account of the proxies at the stand-in databases. */
export const DATABASE_ACCOUNT = { user: 'proxy', password: 'proxy-password' } as const;

/** The hash of a password as `mysql_native_password` stores it. */
export function hashPassword(password: string): string {
  const once = createHash('sha1').update(password).digest();
  return createHash('sha1').update(once).digest('hex');
}

/** The configuration of a trial, as the platform keeps it. */
export function createTrialConfiguration(
  options: TrialOptions,
  databases: Record<string, Database[]>,
): ConfigurationObject {
  const { caller, kinds, serviceLevels } = options;
  const groups = Object.fromEntries(
    Object.entries(databases).map(([group, members]) => [
      group,
      { databases: members, ...DATABASE_ACCOUNT },
    ]),
  );
  return {
    number: 1,
    configuration: {
      groups,
      callers: {
        [caller.name]: {
          passwordHash: hashPassword(caller.password),
          groups: Object.keys(databases),
          connectionLimit: 1_000,
          weight: 1,
        },
      },
      kinds,
      serviceLevels,
    },
    patches: [],
  };
}
