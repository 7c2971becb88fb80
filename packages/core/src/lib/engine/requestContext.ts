import type { EngineEffect, EngineRecord, EnginePolicy, Access } from './messages';
import { createConfirmationTracker } from '../acknowledgement/confirmationTracker';
import type { ConfirmationTracker } from '../acknowledgement/confirmationTracker';
import { createAdmissionQueue } from '../admission/admissionQueue';
import type { AdmissionQueue } from '../admission/admissionQueue';
import { createFloorRounds } from '../reads/floorRounds';
import type { FloorRounds } from '../reads/floorRounds';
import type { MemberTable } from './memberTable';
import type { MemberPlaces } from './memberPlaces';
import { createRequestTable } from './requestTable';
import type { RequestTable, TrackedRequest } from './requestTable';

/** What the modules that carry requests share: the open requests and where each of them waits. @internal */
export interface RequestContext extends RequestContextOptions {
  requests: RequestTable;
  /** Reads that wait for a member. */
  reads: AdmissionQueue<TrackedRequest>;
  /** Writes and transactions that wait for the primary. */
  changes: AdmissionQueue<TrackedRequest>;
  /** Requests that wait for the floor of their round. */
  looking: Set<TrackedRequest>;
  rounds: FloorRounds;
  held: ConfirmationTracker;
  queueOf: (request: TrackedRequest) => AdmissionQueue<TrackedRequest>;
  record: (record: EngineRecord) => void;
  /** Something changed that may let waiting requests go. */
  markRoutes: () => void;
  /** Whether {@link markRoutes} was called since the last time this was asked. */
  takeMark: () => boolean;
}

/** @internal */
export interface RequestContextOptions {
  policy: EnginePolicy;
  dataCentre: string;
  members: MemberTable;
  places: MemberPlaces;
  nextQuestionId: () => number;
  /** Whether writes wait because the present primary is about to be replaced. */
  holdsWrites: () => boolean;
  /** A write was confirmed this long after it had completed. */
  onConfirmed: (waitedMilliseconds: number) => void;
  emit: (effect: EngineEffect) => void;
}

/** @internal */
export function createRequestContext(options: RequestContextOptions): RequestContext {
  const { policy, members, emit } = options;
  const reads = createAdmissionQueue<TrackedRequest>({ capacity: policy.queueLength });
  const changes = createAdmissionQueue<TrackedRequest>({ capacity: policy.queueLength });
  let isMarked = false;

  function takeMark(): boolean {
    const wasMarked = isMarked;
    isMarked = false;
    return wasMarked;
  }

  return {
    ...options,
    requests: createRequestTable(),
    reads,
    changes,
    looking: new Set(),
    rounds: createFloorRounds(members),
    held: createConfirmationTracker(members),
    queueOf: ({ access }) => (access === 'read' ? reads : changes),
    record: (record) => emit({ type: 'record', record }),
    markRoutes: () => {
      isMarked = true;
    },
    takeMark,
  };
}

/** Whether a request with this access may leave something behind in the database. @internal */
export function changesData(access: Access): boolean {
  return access === 'write' || access === 'commit';
}
