import { assign, initialTransition, setup, transition } from 'xstate';
import type { SnapshotFrom } from 'xstate';
import type { SuspicionCause } from '../engine/messages';

/** @internal */
export interface Suspicion {
  cause: SuspicionCause;
  /** Primary at fault; for `stranded` the member that the present term cannot reach. */
  member: string;
}

/** @internal */
export interface FailoverContext {
  suspicion: Suspicion | undefined;
  /** When the present phase ends by itself. */
  dueAt: number;
  /** Answers to this question and later ones are fresh for the phase. */
  fromQuestionId: number;
  /** Term that is being fenced. */
  term: number;
  candidate: string;
  /** Promotions in a row that came to nothing. */
  failures: number;
}

/** @internal */
export type FailoverEvent =
  | { type: 'SUSPECTED'; suspicion: Suspicion; dueAt: number }
  | { type: 'CLEARED' }
  | { type: 'PAUSED' }
  | { type: 'TURN_CAME'; fromQuestionId: number; dueAt: number }
  | { type: 'UPHELD'; term: number; dueAt: number }
  | { type: 'FENCED'; candidate: string; dueAt: number }
  | { type: 'PROMOTED' }
  | { type: 'FAILED'; dueAt: number };

const INITIAL_CONTEXT: FailoverContext = {
  suspicion: undefined,
  dueAt: Number.POSITIVE_INFINITY,
  fromQuestionId: 0,
  term: 0,
  candidate: '',
  failures: 0,
};

/**
 * The lifecycle of a change of primary.
 *
 * `steady` -> `suspecting` (wait for this instance's turn) -> `looking` (ask again) -> `fencing` ->
 * `promoting` -> `steady`. A pause of the instance leads back to `steady` from the phases in which
 * nothing was fenced yet, so that what it saw before the pause deposes nobody.
 *
 * Used as a pure function of snapshot and event; it starts no actor and no timer.
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
        TURN_CAME: {
          target: 'looking',
          actions: assign(({ event }) => ({
            fromQuestionId: event.fromQuestionId,
            dueAt: event.dueAt,
          })),
        },
      },
    },
    looking: {
      on: {
        CLEARED: 'steady',
        PAUSED: 'steady',
        UPHELD: {
          target: 'fencing',
          actions: assign(({ event }) => ({ term: event.term, dueAt: event.dueAt })),
        },
        FAILED: { target: 'suspecting', actions: 'countFailure' },
      },
    },
    fencing: {
      on: {
        CLEARED: 'steady',
        UPHELD: {
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

/** @internal */
export type FailoverPhase = 'steady' | 'suspecting' | 'looking' | 'fencing' | 'promoting';

/** The machine's present state, and how to move it. @internal */
export interface FailoverLifecycle {
  phase: () => FailoverPhase;
  context: () => FailoverContext;
  send: (event: FailoverEvent) => void;
}

/** @internal */
export function createFailoverLifecycle(): FailoverLifecycle {
  let [snapshot]: [SnapshotFrom<typeof failoverMachine>, unknown] =
    initialTransition(failoverMachine);
  return {
    phase: () => snapshot.value,
    context: () => snapshot.context,
    send: (event) => {
      [snapshot] = transition(failoverMachine, snapshot, event);
    },
  };
}
