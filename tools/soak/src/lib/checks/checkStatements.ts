import type { Violation } from '../load/history';
import type { World } from '../world/startWorld';

/** Databases ran what callers sent, with the values and the shapes of their sessions, and no more. */
export function checkStatements({ databases, record }: World): Violation[] {
  const altered = record.compare(
    databases.flatMap(({ runs }) => runs()),
    databases.flatMap(({ rejections }) => rejections()),
  );
  return altered.map(({ rule, detail }) => ({
    promise: `statements run as they were sent (${rule})`,
    detail,
  }));
}
