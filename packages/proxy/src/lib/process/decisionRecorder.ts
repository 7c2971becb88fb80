import type { EngineRecord } from '@wisterialift/core';
import type { LogLevel, Logger } from '@wisterialift/telemetry';

/**
 * Log level of each engine record. Records that occur for every statement are not logged, because a
 * log line would cost more than the statement; reads are counted instead.
 */
const LEVEL_BY_EVENT: Record<EngineRecord['name'], LogLevel | 'notLogged'> = {
  primarySuspected: 'warn',
  suspicionCleared: 'info',
  termFenced: 'warn',
  fenceFailed: 'warn',
  primaryPromoted: 'warn',
  primaryLearned: 'info',
  memberAttached: 'info',
  votersNamed: 'info',
  readRouted: 'notLogged',
  writeConfirmed: 'notLogged',
  requestRetried: 'debug',
  requestRejected: 'debug',
  requestExpired: 'info',
};

/** Reads of one group, by the role of the member that served them. @public */
export interface ReadCounts {
  group: string;
  replicaReads: number;
  primaryReads: number;
}

/** @internal */
export interface DecisionRecorder {
  record: (decision: { group: string; record: EngineRecord }) => void;
  readCounts: () => ReadCounts[];
}

/** Logs and counts the decisions of the group engines. @internal */
export function createDecisionRecorder(options: { logger: Logger }): DecisionRecorder {
  const { logger } = options;
  const countsByGroup = new Map<string, ReadCounts>();

  function countRead(group: string, isReplica: boolean): void {
    const counts = countsByGroup.get(group) ?? { group, replicaReads: 0, primaryReads: 0 };
    if (isReplica) counts.replicaReads += 1;
    else counts.primaryReads += 1;
    countsByGroup.set(group, counts);
  }

  function record(decision: { group: string; record: EngineRecord }): void {
    const { name, ...fields } = decision.record;
    if (decision.record.name === 'readRouted') {
      countRead(decision.group, decision.record.isReplica);
    }
    const level = LEVEL_BY_EVENT[name];
    if (level === 'notLogged') return;
    logger[level](name, { group: decision.group, ...fields });
  }

  return { record, readCounts: () => [...countsByGroup.values()] };
}
