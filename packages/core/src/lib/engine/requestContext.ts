import type { EngineEffect, EngineRecord, EnginePolicy, Access } from './messages';
import { createConfirmationTracker } from '../acknowledgement/confirmationTracker';
import type { ConfirmationTracker } from '../acknowledgement/confirmationTracker';
import { createAdmissionQueue } from '../admission/admissionQueue';
import type { AdmissionQueue } from '../admission/admissionQueue';
import { createFloorRounds } from '../reads/floorRounds';
import type { FloorRounds } from '../reads/floorRounds';
import type { AgeClock } from '../timing/ageClock';
import type { MemberTable } from './memberTable';
import type { MemberCapacity } from './memberCapacity';
import { createRequestTable } from './requestTable';
import type { RequestTable, TrackedRequest } from './requestTable';

/** State shared by the modules that process requests. @internal */
export interface RequestContext extends RequestContextOptions {
  requests: RequestTable;
  /** Reads waiting for a member. */
  readQueue: AdmissionQueue<TrackedRequest>;
  /** Writes and BEGIN waiting for the primary. */
  primaryQueue: AdmissionQueue<TrackedRequest>;
  /** Requests waiting for the floor (minimum position) of their round. */
  awaitingFloor: Set<TrackedRequest>;
  /**
   * Rounds of status requests, each of which finds the floor: a position that covers every write
   * acknowledged before the round.
   */
  rounds: FloorRounds;
  /** Completed writes that a majority has not confirmed yet. */
  unconfirmedWrites: ConfirmationTracker;
  getQueue: (request: TrackedRequest) => AdmissionQueue<TrackedRequest>;
  record: (record: EngineRecord) => void;
  /** Marks that waiting requests may have become dispatchable. */
  scheduleDispatch: () => void;
  /** Returns whether a dispatch was scheduled since the last call. */
  takeDispatchPending: () => boolean;
}

/** @internal */
export interface RequestContextOptions {
  policy: EnginePolicy;
  dataCentre: string;
  members: MemberTable;
  capacity: MemberCapacity;
  ageClock: AgeClock;
  peekNextControlRequestId: () => number;
  /** Whether writes are kept in the queue during a failover. */
  isBlockingWrites: () => boolean;
  /** Called when a write is confirmed, with the time since its completion. */
  onConfirmed: (waitedMilliseconds: number) => void;
  emit: (effect: EngineEffect) => void;
}

/** @internal */
export function createRequestContext(options: RequestContextOptions): RequestContext {
  const { policy, members, emit } = options;
  const reads = createAdmissionQueue<TrackedRequest>({ capacity: policy.queueLength });
  const primaryQueue = createAdmissionQueue<TrackedRequest>({ capacity: policy.queueLength });
  let isDispatchPending = false;

  function takeDispatchPending(): boolean {
    const wasPending = isDispatchPending;
    isDispatchPending = false;
    return wasPending;
  }

  return {
    ...options,
    requests: createRequestTable(),
    readQueue: reads,
    primaryQueue,
    awaitingFloor: new Set(),
    rounds: createFloorRounds(members),
    unconfirmedWrites: createConfirmationTracker(members),
    getQueue: ({ access }) => (access === 'read' ? reads : primaryQueue),
    record: (record) => emit({ type: 'record', record }),
    scheduleDispatch: () => {
      isDispatchPending = true;
    },
    takeDispatchPending,
  };
}

/** Whether a request with this access can change stored data. @internal */
export function canChangeData(access: Access): boolean {
  return access === 'write' || access === 'commit';
}
