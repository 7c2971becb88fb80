import type { TrialDatabase } from '../cluster/startDatabase';
import type { ErrorMeaning } from './callerError';

/** What a caller was told about a write. */
export type WriteOutcome = 'acknowledged' | ErrorMeaning;

/** Faults that the oracle found, by what was promised. */
export interface Violations {
  lost: number;
  doubled: number;
  /** Told as not run or discarded, yet there. */
  ranThoughDenied: number;
  /** A read of a session missed a write that was acknowledged to it before. */
  staleRead: number;
}

/** Remembers what callers were told and compares it with what the databases hold. */
export interface Oracle {
  recordWrite: (write: { group: string; id: string; outcome: WriteOutcome }) => void;
  /** Checks a read of a session against its acknowledged writes. */
  checkRead: (expectedIds: readonly string[], readIds: ReadonlySet<string>) => void;
  /** Compares a group's primary with what was told; call it when the group has settled. */
  checkGroup: (group: string, primary: TrialDatabase) => Promise<void>;
  violations: () => Violations;
  /** Writes told of, by outcome. */
  outcomes: () => Record<string, number>;
}

/** Starts with nothing told. */
export function createOracle(): Oracle {
  const writes = new Map<string, Map<string, WriteOutcome>>();
  const found: Violations = { lost: 0, doubled: 0, ranThoughDenied: 0, staleRead: 0 };

  function checkWrite(outcome: WriteOutcome, rows: number): void {
    if (rows > 1) found.doubled += 1;
    if (outcome === 'acknowledged' && rows === 0) found.lost += 1;
    if ((outcome === 'notRun' || outcome === 'discarded') && rows > 0) found.ranThoughDenied += 1;
  }

  return {
    recordWrite: ({ group, id, outcome }) => {
      const ofGroup = writes.get(group) ?? new Map<string, WriteOutcome>();
      writes.set(group, ofGroup.set(id, outcome));
    },
    checkRead: (expectedIds, readIds) => {
      if (expectedIds.some((id) => !readIds.has(id))) found.staleRead += 1;
    },
    checkGroup: async (group, primary) => {
      const rows = await primary.readRows<{ id: string; count: number }>(
        'SELECT id, COUNT(*) AS count FROM records GROUP BY id',
      );
      const counts = new Map(rows.map(({ id, count }) => [id, count]));
      writes.get(group)?.forEach((outcome, id) => checkWrite(outcome, counts.get(id) ?? 0));
    },
    violations: () => ({ ...found }),
    outcomes: () => {
      const counts: Record<string, number> = {};
      writes.forEach((ofGroup) => {
        ofGroup.forEach((outcome) => {
          counts[outcome] = (counts[outcome] ?? 0) + 1;
        });
      });
      return counts;
    },
  };
}

/** All violations together. */
export function sumViolations(violations: Violations): number {
  return Object.values(violations).reduce((sum, count) => sum + count, 0);
}
