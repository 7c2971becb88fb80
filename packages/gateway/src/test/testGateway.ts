import type {
  PreparedStatement,
  FailureReason,
  MemberRegister,
  PromotionRecord,
  UpstreamAnswer,
  UpstreamCommand,
} from '@wisterialift/pooling';
import type { RelayAcceptor, RelayResponse, RelayStatement } from '@wisterialift/peer/relay';
import { isAtMost } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import { createGateway, createProcessClock, createTeamDirectory } from '../index';
import type {
  CallerAnswer,
  DirectoryFreshness,
  Clock,
  DirectoryEntry,
  GatewayConfiguration,
  InstanceRegistry,
  LoadControl,
  RecordStore,
  Route,
  StoredRecord,
  Team,
} from '../index';
import { createRelayRequest, createTestOptions, createTestLogger, GROUP, noop } from './fixture';

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
const getUsualPosition = (memberId: string) => ({ term: memberId === 'db-1' ? 1 : 2, index: 1 });

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
  /** State of the transaction on its connection before it runs. */
  transaction: UpstreamAnswer['transaction'];
  /** Session values that were set on its connection. */
  values: Record<string, string>;
  /** Position that the member must have applied. */
  after: Position | undefined;
  answer: () => void;
  /** Refuses the statement; as one that ran and failed if no reason is given. */
  fail: (reason?: FailureReason) => void;
  /** Answers with something that the gateway cannot process. */
  answerMalformed: () => void;
}

/** Time until a refusal, so that a statement that is sent again at once lets the time go on. */
const ANSWER_MILLISECONDS = 1;

/** State of a connection as the member has it. */
interface FakeConnection {
  transaction: UpstreamAnswer['transaction'];
  values: Map<string, string>;
  prepared: PreparedStatement[];
  /** Fails the commands that are never answered, as the end of the connection does. */
  loseCommands: (() => void)[];
}

/** A prepared statement that a member ran, with the session values of its connection. */
interface ExecutedStatement {
  memberId: string;
  shape: string;
  isPrepared: boolean;
  values: Record<string, string>;
}

/** Keeps one record in memory. */
function createRecordStore<Content>(): RecordStore<Content> & { current?: StoredRecord<Content> } {
  const store: RecordStore<Content> & { current?: StoredRecord<Content> } = {
    read: async () => store.current,
    replace: async ({ record, revision }) => {
      if (store.current?.revision !== revision) return { type: 'conflict' };
      store.current = { record, revision: (revision ?? 0) + 1 };
      return { type: 'replaced', revision: store.current.revision };
    },
  };
  return store;
}

/** Lists one instance, which then shares out the limits of all teams. */
function createSoleInstanceRegistry(): InstanceRegistry {
  const entry = {
    instance: 'instance-1',
    dataCentre: 'zone-1',
    address: 'instance-1:1',
    weight: 1,
  };
  return {
    registerInstance: (onChange) => onChange([entry], { mayOthersLag: false }),
    reportUnreachable: noop,
  };
}

/** Starts a gateway with members that answer forwarded statements only when the test says so. */
export function startTestGateway({
  getPosition = getUsualPosition,
  changes = {},
  teams,
  loadControls,
  clock = createProcessClock(),
  registry = { registerInstance: noop, reportUnreachable: noop },
  maximumConnections = 20,
  holds = isAtMost,
  getTerm = (memberId) => getPosition(memberId).term,
}: {
  getPosition?: (memberId: string) => Position;
  /** Fields of the route that differ. */
  changes?: Partial<Route>;
  teams?: Team[];
  /** Load controls that are enabled; none if omitted. */
  loadControls?: Iterable<LoadControl>;
  clock?: Clock;
  registry?: InstanceRegistry;
  maximumConnections?: number;
  /** Whether a log that ends at a position holds another one. */
  holds?: (position: Position, end: Position) => boolean;
  /** Term that a member leads or follows; that of its log end if omitted. */
  getTerm?: (memberId: string) => number;
} = {}) {
  const forwarded: ForwardedStatement[] = [];
  const executed: ExecutedStatement[] = [];
  const events: string[] = [];
  const lines: Record<string, unknown>[] = [];
  let updateDirectory:
    ((entries: DirectoryEntry[], freshness: DirectoryFreshness) => void) | undefined;
  let adoptConfiguration: ((configuration: GatewayConfiguration) => void) | undefined;
  /** Entry of each member by the last directory that listed it. */
  const lastEntries = new Map<string, DirectoryEntry>();
  let heldCommandType: UpstreamCommand['type'] | undefined;
  let refusedCommandType: UpstreamCommand['type'] | undefined;
  const preparedOfConnections: PreparedStatement[][] = [];
  const refusedCommands = new Map<UpstreamCommand['type'], FailureReason>();
  const heldAnswers: Pick<ForwardedStatement, 'answer' | 'answerMalformed'>[] = [];
  const unreachedMembers = new Set<string>();
  const heldConnections: (() => void)[] = [];
  const commands: { memberId: string; command: UpstreamCommand }[] = [];
  let acceptRelay: RelayAcceptor | undefined;
  const unsent = new Set<'answers' | 'responses'>();
  /** Members of the connections that were closed. */
  const closed: string[] = [];
  const reports = new WeakMap<UpstreamAnswer, string>();
  const store = createRecordStore<PromotionRecord>();
  const memberRegisters = createRecordStore<MemberRegister>();
  const orders: string[] = [];
  const demoted = new Set<string>();
  const silent = new Set<string>();
  let entriesAtRefresh: DirectoryEntry[] | undefined;
  let handleDemoted: () => void = noop;
  let handleOrdered: () => void = noop;

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
    state: FakeConnection,
    command: UpstreamCommand,
  ): Promise<UpstreamAnswer> {
    commands.push({ memberId, command });
    return new Promise((resolve, reject) => {
      const position = getPosition(memberId);
      if ('after' in command && command.after && !holds(command.after, position)) {
        const { transaction } = state;
        const refusal = { outcome: 'refused', reason: 'lagging', detail: memberId } as const;
        resolve({ ...refusal, transaction, position });
        return;
      }
      const alwaysRefused = refusedCommands.get(command.type);
      if (alwaysRefused) {
        const refusal = { outcome: 'refused', reason: alwaysRefused, detail: memberId } as const;
        clock.runAfter(ANSWER_MILLISECONDS, () =>
          resolve({ ...refusal, transaction: state.transaction, position }),
        );
        return;
      }
      if (command.type === refusedCommandType) {
        refusedCommandType = undefined;
        const { transaction } = state;
        resolve({ outcome: 'refused', reason: 'readOnly', detail: memberId, transaction });
        return;
      }
      if (command.type === 'reset') {
        state.values.clear();
        state.prepared.splice(0);
      }
      if (command.type === 'set') state.values.set(command.name, command.value);
      if (command.type === 'prepare') state.prepared.push(command.statement);
      const answer = () => resolve(createCompletedAnswer(memberId, state.transaction));
      const answerMalformed = () => resolve(undefined as unknown as UpstreamAnswer);
      if (command.type === 'begin') Object.assign(state, { transaction: 'open' });
      if (command.type === 'demote') {
        demoted.add(memberId);
        handleDemoted();
      }
      if (silent.has(memberId)) {
        state.loseCommands.push(() => reject(new Error(`${memberId} did not answer`)));
        return;
      }
      if (command.type === 'rollback') Object.assign(state, { transaction: 'idle' });
      const values = Object.fromEntries(state.values);
      const { transaction } = state;
      if (command.type === 'execute') {
        const { statement } = command;
        const isPrepared = state.prepared.some(
          ({ access, shape }) => access === statement.access && shape === statement.shape,
        );
        executed.push({ memberId, shape: statement.shape, isPrepared, values });
        if (!isPrepared) {
          const refusal = { outcome: 'refused', reason: 'unknownStatement' } as const;
          clock.runAfter(ANSWER_MILLISECONDS, () =>
            resolve({ ...refusal, detail: memberId, transaction, position }),
          );
          return;
        }
      }
      if (command.type === 'forward') {
        const { id, after } = command;
        const fail = (reason: FailureReason = 'failed') =>
          resolve({ outcome: 'refused', reason, detail: memberId, transaction });
        const statement = { memberId, id, transaction, values, after };
        forwarded.push({ ...statement, answer, fail, answerMalformed });
      } else if (command.type === heldCommandType) heldAnswers.push({ answer, answerMalformed });
      else answer();
    });
  }

  const gateway = createGateway(
    createTestOptions({
      clock,
      loadControls: new Set(loadControls),
      registry,
      transport: {
        open: () => ({ send: noop, close: noop }),
        listen: (accept) => {
          acceptRelay = accept;
        },
        hasUnsentData: () => unsent.has('responses'),
        close: noop,
      },
      ...(teams && { registry: createSoleInstanceRegistry() }),
      logger: createTestLogger((event, fields) => {
        events.push(event);
        lines.push({ event, ...fields });
      }),
      driver: {
        connect: async ({ memberId }) => {
          const prepared: PreparedStatement[] = [];
          preparedOfConnections.push(prepared);
          const state: FakeConnection = {
            transaction: 'idle',
            values: new Map(),
            prepared,
            loseCommands: [],
          };
          if (unreachedMembers.has(memberId)) {
            await new Promise<void>((resolve) => {
              heldConnections.push(resolve);
            });
          }
          return {
            run: (command) => run(memberId, state, command),
            isOpen: () => true,
            close: () => {
              closed.push(memberId);
              for (const lose of state.loseCommands) lose();
            },
          };
        },
        readReport: (answer) => {
          const memberId = reports.get(answer)!;
          const entry = lastEntries.get(memberId);
          const isPrimary = entry !== undefined && entry.isPrimary && !demoted.has(memberId);
          const received = getPosition(memberId);
          return { isPrimary, term: getTerm(memberId), received };
        },
      },
      directory: {
        subscribe: ({ onChange }) => {
          updateDirectory = onChange;
        },
        refresh: async () => {
          if (entriesAtRefresh) updateMembers(entriesAtRefresh);
        },
      },
      store,
      memberRegisters,
      orders: {
        promote: async ({ memberId }) => {
          handleOrdered();
          orders.push(memberId);
          return 'accepted';
        },
      },
      configuration: {
        refresh: async () => undefined,
        isFresh: () => true,
        isCurrent: () => true,
        subscribe: ({ onChange }) => {
          adoptConfiguration = onChange;
          updateRoute(1);
        },
      },
    }),
  );

  /** Activates a version of the configuration; `routeChanges` override fields of its route. */
  function updateRoute(version: number, routeChanges: Partial<Route> = {}): void {
    adoptConfiguration!({
      version,
      routes: new Map([[DATABASE, { ...route, ...changes, ...routeChanges }]]),
      groups: new Map([[GROUP, { name: GROUP, maximumConnections }]]),
      transactionIdle: 60_000,
      teams: teams && createTeamDirectory(teams),
    });
  }

  function updateMembers(
    entries: DirectoryEntry[],
    changedAfter?: DirectoryFreshness['changedAfter'],
  ): void {
    for (const entry of entries) lastEntries.set(entry.memberId, entry);
    const completeAt = clock.readClocks();
    updateDirectory!(entries, { isFresh: true, changedAfter, completeAt });
  }

  /** Opens a session and collects its answers in statement order. */
  function openSession(keyDigest?: string) {
    const answers: CallerAnswer[] = [];
    const caller = gateway.acceptCaller({
      accept: noop,
      refuse: noop,
      answer: (answer) => answers.push(answer),
      close: noop,
      hasUnsentData: () => unsent.has('answers'),
    });
    caller.onStart(DATABASE, keyDigest);
    return {
      answers,
      read: (id: string) => caller.onStatement({ type: 'read', id, text: 'READ lamp-1' }),
      write: (id: string) => caller.onStatement({ type: 'write', id, text: 'WRITE lamp-1 v1' }),
      set: (name = 'a', value = '1') =>
        caller.onStatement({ type: 'set', id: 'set', text: `SET ${name} ${value}`, name, value }),
      prepare: (name: string, shape: string) =>
        caller.onStatement({
          type: 'prepare',
          id: 'prepare',
          text: `PREPARE ${name} READ ${shape}`,
          name,
          access: 'read',
          shape,
        }),
      execute: (name: string) =>
        caller.onStatement({
          type: 'execute',
          id: 'execute',
          text: `EXECUTE ${name} lamp-1`,
          name,
          argumentsText: 'lamp-1',
        }),
      begin: (isReadOnly = false) =>
        caller.onStatement({ type: 'begin', id: 'begin', text: 'BEGIN', isReadOnly }),
      rollback: () => caller.onStatement({ type: 'rollback', id: 'rollback', text: 'ROLLBACK' }),
      leave: () => caller.onDisconnect(),
      commit: () => caller.onStatement({ type: 'commit', id: 'commit', text: 'COMMIT' }),
    };
  }

  /** Sends a statement as another instance does that relays to this one. */
  function relay(statement: RelayStatement): Promise<RelayResponse> {
    return new Promise((resolve) => {
      const { onRequest } = acceptRelay!((response) => {
        if (response.number === 1) resolve(response);
      });
      onRequest(createRelayRequest({ statement }));
    });
  }

  return {
    relay,
    /** What the network has not taken yet: answers to callers, responses to other instances. */
    unsent,
    listMemberFailures: () => gateway.listMemberFailures()[GROUP] ?? [],
    gateway,
    forwarded,
    executed,
    events,
    /** Finds the lines of one event in the log. */
    findLines: (name: string) => lines.filter(({ event }) => event === name),
    openSession,
    /** Publishes a directory snapshot; without `changedAfter`, the time of its changes is unknown. */
    updateMembers,
    updateRoute,
    /** Sets what the directory lists when the gateway reads it again. */
    setEntriesAtRefresh: (entries: DirectoryEntry[]) => {
      entriesAtRefresh = entries;
    },
    store,
    memberRegisters,
    /** Members whose promotion was ordered. */
    orders,
    /** Sets what happens before a member answers that it was demoted. */
    onDemoted: (listener: () => void) => {
      handleDemoted = listener;
    },
    /** Sets what happens before a promotion is ordered. */
    onOrdered: (listener: () => void) => {
      handleOrdered = listener;
    },
    /** The member answers no further commands. */
    silence: (memberId: string) => silent.add(memberId),
    /** The member answers further commands again. */
    wake: (memberId: string) => silent.delete(memberId),
    getForwardedIds: (memberId: string) =>
      forwarded.filter((statement) => statement.memberId === memberId).map(({ id }) => id),
    /** Delays answers to commands of this type until `releaseAnswers` is called. */
    holdAnswers: (type: UpstreamCommand['type']) => {
      heldCommandType = type;
    },
    /** Refuses the next command of this type, which then has no effect. */
    /** Refuses all commands of a type at all members. */
    refuseAll: (type: UpstreamCommand['type'], reason: FailureReason) => {
      refusedCommands.set(type, reason);
    },
    /** Empties what the members have prepared on their connections. */
    losePrepared: () => {
      for (const prepared of preparedOfConnections) prepared.splice(0);
    },
    refuseNext: (type: UpstreamCommand['type']) => {
      refusedCommandType = type;
    },
    /** Delays new connections to a member until `releaseConnections` is called. */
    holdConnections: (memberId: string) => unreachedMembers.add(memberId),
    releaseConnections: () => {
      unreachedMembers.clear();
      for (const connect of heldConnections.splice(0)) connect();
    },
    countClosedConnections: (memberId: string) =>
      closed.filter((member) => member === memberId).length,
    /** Counts the commands of this type that were sent to a member. */
    countCommands: (memberId: string, type: UpstreamCommand['type']) =>
      commands.filter((sent) => sent.memberId === memberId && sent.command.type === type).length,
    /** Positions that the started transactions required, by member. */
    listBegun: () =>
      commands.flatMap(({ memberId, command }) =>
        command.type === 'begin' ? [{ memberId, after: command.after }] : [],
      ),
    /** Sends the answer that was delayed last. */
    releaseLastAnswer: () => heldAnswers.pop()!.answer(),
    /** Answers the command that was delayed first with something that the gateway cannot process. */
    spoilFirstAnswer: () => heldAnswers.shift()!.answerMalformed(),
    releaseAnswers: () => {
      for (const { answer } of heldAnswers.splice(0)) answer();
    },
    close: gateway.close,
  };
}
