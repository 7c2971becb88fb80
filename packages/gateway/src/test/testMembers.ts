import type { UpstreamAnswer, UpstreamCommand } from '@wisterialift/pooling';
import { createGateway, createProcessClock } from '../index';
import type { CallerAnswer, DirectoryAge, DirectoryEntry, Route } from '../index';
import { createIdleOptions, createTestLogger, GROUP, nothing } from './fixture';

/** The database name that callers of the test give; only the primary serves it. */
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

/** The first member leads term 1, its successor term 2. */
const positionOf = (memberId: string) => ({ term: memberId === 'db-1' ? 1 : 2, index: 1 });

/** A member as the directory lists it; a test changes what it is about. */
export function listMember(changes: Partial<DirectoryEntry> = {}): DirectoryEntry {
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

interface SentStatement {
  memberId: string;
  id: string;
  answer: () => void;
}

/** A gateway before members that answer what it asks itself at once, and statements when told to. */
export function startTestGateway() {
  const sent: SentStatement[] = [];
  const events: string[] = [];
  let change: ((entries: DirectoryEntry[], age: DirectoryAge) => void) | undefined;
  let present: DirectoryEntry[] = [];
  let heldType: UpstreamCommand['type'] | undefined;
  const held: (() => void)[] = [];
  const reports = new WeakMap<UpstreamAnswer, string>();

  const completed = (memberId: string, transaction: UpstreamAnswer['transaction']) => {
    const answer: UpstreamAnswer = {
      outcome: 'completed',
      rows: [],
      signature: memberId,
      transaction,
      position: positionOf(memberId),
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
      const answer = () => resolve(completed(memberId, state.transaction));
      if (command.type === 'begin') Object.assign(state, { transaction: 'open' });
      if (command.type === 'rollback') Object.assign(state, { transaction: 'idle' });
      if (command.type === 'forward') sent.push({ memberId, id: command.id, answer });
      else if (command.type === heldType) held.push(answer);
      else answer();
    });
  }

  const gateway = createGateway(
    createIdleOptions({
      clock: createProcessClock(),
      logger: createTestLogger((event) => events.push(event)),
      driver: {
        connect: async ({ memberId }) => {
          const state = { transaction: 'idle' as const };
          return {
            run: (command) => run(memberId, state, command),
            isOpen: () => true,
            close: nothing,
          };
        },
        readReport: (answer) => {
          const memberId = reports.get(answer)!;
          const { isPrimary } = present.find((entry) => entry.memberId === memberId)!;
          const received = positionOf(memberId);
          return { isPrimary, term: received.term, received };
        },
      },
      directory: {
        follow: ({ onChange }) => {
          change = onChange;
        },
      },
      configuration: {
        follow: (onChange) =>
          onChange({
            version: 1,
            routes: new Map([[DATABASE, route]]),
            groups: new Map([[GROUP, { name: GROUP, maximumConnections: 20 }]]),
            transactionIdle: 60_000,
          }),
      },
    }),
  );

  /** Opens a session; its statements' answers come in the order of the statements. */
  function openSession() {
    const answers: CallerAnswer[] = [];
    const caller = gateway.acceptCaller({
      accept: nothing,
      refuse: nothing,
      answer: (answer) => answers.push(answer),
      end: nothing,
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
    sent,
    events,
    openSession,
    /** Tells the directory; without a time, nobody knows since when it is so. */
    list: (entries: DirectoryEntry[], newSince?: DirectoryAge['newSince']) => {
      present = entries;
      change!(entries, { isFresh: true, newSince });
    },
    idsSentTo: (memberId: string) =>
      sent.filter((statement) => statement.memberId === memberId).map(({ id }) => id),
    /** Members answer commands of this type only once `answerHeld` is called. */
    hold: (type: UpstreamCommand['type']) => {
      heldType = type;
    },
    answerHeld: () => {
      for (const answer of held.splice(0)) answer();
    },
    close: gateway.close,
  };
}
