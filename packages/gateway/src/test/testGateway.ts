import type { UpstreamAnswer, UpstreamCommand } from '@wisterialift/pooling';
import { createGateway, createProcessClock } from '../index';
import type { CallerAnswer, DirectoryFreshness, DirectoryEntry, Route } from '../index';
import { createTestOptions, createTestLogger, GROUP, noop } from './fixture';

/** Database of the test sessions; its consistency is `primary`. */
export const DATABASE = 'ledger';

const route: Route = {
  database: DATABASE,
  group: GROUP,
  consistency: 'primary',
  maximumStaleness: 0,
  timeout: 5_000,
  goal: 5_000,
  priority: 1,
};

/** `db-1` is the primary of term 1, any other member of term 2. */
const getPosition = (memberId: string) => ({ term: memberId === 'db-1' ? 1 : 2, index: 1 });

/** Creates a directory entry of a primary; `changes` override its fields. */
export function createDirectoryEntry(changes: Partial<DirectoryEntry> = {}): DirectoryEntry {
  return {
    memberId: 'db-1',
    group: GROUP,
    address: 'db-1:1',
    dataCentre: 'zone-1',
    isPrimary: true,
    isLeaving: false,
    slots: 1,
    revision: 1,
    startedAt: 1,
    ...changes,
  };
}

interface ForwardedStatement {
  memberId: string;
  id: string;
  answer: () => void;
}

/** Starts a gateway with members that answer forwarded statements only when the test says so. */
export function startTestGateway() {
  const forwarded: ForwardedStatement[] = [];
  const events: string[] = [];
  let updateDirectory:
    ((entries: DirectoryEntry[], freshness: DirectoryFreshness) => void) | undefined;
  let currentEntries: DirectoryEntry[] = [];
  let heldCommandType: UpstreamCommand['type'] | undefined;
  const heldAnswers: (() => void)[] = [];
  const reports = new WeakMap<UpstreamAnswer, string>();

  const createCompletedAnswer = (memberId: string, transaction: UpstreamAnswer['transaction']) => {
    const answer: UpstreamAnswer = {
      outcome: 'completed',
      rows: [],
      signature: memberId,
      transaction,
      position: getPosition(memberId),
    };
    reports.set(answer, memberId);
    return answer;
  };

  function run(
    memberId: string,
    state: { transaction: UpstreamAnswer['transaction'] },
    command: UpstreamCommand,
  ): Promise<UpstreamAnswer> {
    return new Promise((resolve) => {
      const answer = () => resolve(createCompletedAnswer(memberId, state.transaction));
      if (command.type === 'begin') Object.assign(state, { transaction: 'open' });
      if (command.type === 'rollback') Object.assign(state, { transaction: 'idle' });
      if (command.type === 'forward') forwarded.push({ memberId, id: command.id, answer });
      else if (command.type === heldCommandType) heldAnswers.push(answer);
      else answer();
    });
  }

  const gateway = createGateway(
    createTestOptions({
      clock: createProcessClock(),
      logger: createTestLogger((event) => events.push(event)),
      driver: {
        connect: async ({ memberId }) => {
          const state = { transaction: 'idle' as const };
          return {
            run: (command) => run(memberId, state, command),
            isOpen: () => true,
            close: noop,
          };
        },
        readReport: (answer) => {
          const memberId = reports.get(answer)!;
          const { isPrimary } = currentEntries.find((entry) => entry.memberId === memberId)!;
          const received = getPosition(memberId);
          return { isPrimary, term: received.term, received };
        },
      },
      directory: {
        subscribe: ({ onChange }) => {
          updateDirectory = onChange;
        },
      },
      configuration: {
        subscribe: (onChange) =>
          onChange({
            version: 1,
            routes: new Map([[DATABASE, route]]),
            groups: new Map([[GROUP, { name: GROUP, maximumConnections: 20 }]]),
            transactionIdle: 60_000,
          }),
      },
    }),
  );

  /** Opens a session and collects its answers in statement order. */
  function openSession() {
    const answers: CallerAnswer[] = [];
    const caller = gateway.acceptCaller({
      accept: noop,
      refuse: noop,
      answer: (answer) => answers.push(answer),
      close: noop,
    });
    caller.onStart(DATABASE);
    return {
      answers,
      read: (id: string) => caller.onStatement({ type: 'read', id, text: 'READ lamp-1' }),
      write: (id: string) => caller.onStatement({ type: 'write', id, text: 'WRITE lamp-1 v1' }),
      set: () =>
        caller.onStatement({ type: 'set', id: 'set', text: 'SET a 1', name: 'a', value: '1' }),
      begin: () =>
        caller.onStatement({ type: 'begin', id: 'begin', text: 'BEGIN', isReadOnly: false }),
    };
  }

  return {
    forwarded,
    events,
    openSession,
    /** Publishes a directory snapshot; without `changedAfter`, the time of its changes is unknown. */
    updateMembers: (
      entries: DirectoryEntry[],
      changedAfter?: DirectoryFreshness['changedAfter'],
    ) => {
      currentEntries = entries;
      updateDirectory!(entries, { isFresh: true, changedAfter });
    },
    getForwardedIds: (memberId: string) =>
      forwarded.filter((statement) => statement.memberId === memberId).map(({ id }) => id),
    /** Delays answers to commands of this type until `releaseAnswers` is called. */
    holdAnswers: (type: UpstreamCommand['type']) => {
      heldCommandType = type;
    },
    releaseAnswers: () => {
      for (const answer of heldAnswers.splice(0)) answer();
    },
    close: gateway.close,
  };
}
