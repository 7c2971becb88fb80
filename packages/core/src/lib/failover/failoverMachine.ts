import { assign, initialTransition, setup, transition } from 'xstate';
import type { SnapshotFrom } from 'xstate';
import type { SuspicionCause } from '../engine/messages';

/** @internal */
export interface Suspicion {
  cause: SuspicionCause;
  /**
   * The suspected primary; for `stranded` the member that has recorded a higher term; empty for
   * `absent`.
   */
  member: string;
}

/** @internal */
export interface FailoverContext {
  suspicion: Suspicion | undefined;
  /** Deadline of the current phase. */
  dueAt: number;
  /** First control request whose response counts for the verification. */
  fromControlRequestId: number;
  /** Term being fenced. */
  term: number;
  candidate: string;
  /** Consecutive failed failovers. */
  failures: number;
}

/** @internal */
export type FailoverEvent =
  | { type: 'SUSPECTED'; suspicion: Suspicion; dueAt: number }
  | { type: 'CLEARED' }
  | { type: 'PAUSED' }
  | { type: 'VERIFICATION_STARTED'; fromControlRequestId: number; dueAt: number }
  /** Starts a fence, after the verification or again with a higher term. */
  | { type: 'VERIFIED'; term: number; dueAt: number }
  | { type: 'FENCED'; candidate: string; dueAt: number }
  | { type: 'PROMOTED' }
  | { type: 'FAILED'; dueAt: number };

const INITIAL_CONTEXT: FailoverContext = {
  suspicion: undefined,
  dueAt: Number.POSITIVE_INFINITY,
  fromControlRequestId: 0,
  term: 0,
  candidate: '',
  failures: 0,
};

/**
 * State machine of a failover.
 *
 * `steady` -> `suspecting` (stagger delay) -> `looking` (verify with new status requests) ->
 * `fencing` -> `promoting` -> `steady`. A pause of the process before fencing leads back to `steady`,
 * so that outdated observations do not depose a primary.
 *
 * Used as a pure transition function; starts no actors or timers.
 *
 * @internal
 */
export const failoverMachine = setup({
  types: {
    context: {} as FailoverContext,
    events: {} as FailoverEvent,
  },
  actions: {
    reset: assign(() => INITIAL_CONTEXT),
    countFailure: assign(({ context, event }) => ({
      failures: context.failures + 1,
      dueAt: 'dueAt' in event ? event.dueAt : context.dueAt,
    })),
  },
}).createMachine({
  id: 'failover',
  context: INITIAL_CONTEXT,
  initial: 'steady',
  states: {
    steady: {
      entry: 'reset',
      on: {
        SUSPECTED: {
          target: 'suspecting',
          actions: assign(({ event }) => ({ suspicion: event.suspicion, dueAt: event.dueAt })),
        },
      },
    },
    suspecting: {
      on: {
        CLEARED: 'steady',
        PAUSED: 'steady',
        VERIFICATION_STARTED: {
          target: 'looking',
          actions: assign(({ event }) => ({
            fromControlRequestId: event.fromControlRequestId,
            dueAt: event.dueAt,
          })),
        },
      },
    },
    looking: {
      on: {
        CLEARED: 'steady',
        PAUSED: 'steady',
        VERIFIED: {
          target: 'fencing',
          actions: assign(({ event }) => ({ term: event.term, dueAt: event.dueAt })),
        },
        FAILED: { target: 'suspecting', actions: 'countFailure' },
      },
    },
    fencing: {
      on: {
        CLEARED: 'steady',
        VERIFIED: {
          actions: assign(({ event }) => ({ term: event.term, dueAt: event.dueAt })),
        },
        FENCED: {
          target: 'promoting',
          actions: assign(({ event }) => ({ candidate: event.candidate, dueAt: event.dueAt })),
        },
        FAILED: { target: 'suspecting', actions: 'countFailure' },
      },
    },
    promoting: {
      on: {
        CLEARED: 'steady',
        PROMOTED: 'steady',
        FAILED: { target: 'suspecting', actions: 'countFailure' },
      },
    },
  },
});

/** Shown to operators; `looking` is the verification. @internal */
export type FailoverPhase = 'steady' | 'suspecting' | 'looking' | 'fencing' | 'promoting';

/** Current state of the failover and its transitions. @internal */
export interface FailoverLifecycle {
  getPhase: () => FailoverPhase;
  getContext: () => FailoverContext;
  send: (event: FailoverEvent) => void;
}

/** @internal */
export function createFailoverLifecycle(): FailoverLifecycle {
  let [snapshot]: [SnapshotFrom<typeof failoverMachine>, unknown] =
    initialTransition(failoverMachine);
  return {
    getPhase: () => snapshot.value,
    getContext: () => snapshot.context,
    send: (event) => {
      [snapshot] = transition(failoverMachine, snapshot, event);
    },
  };
}
