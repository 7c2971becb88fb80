import type {
  MemberReport,
  PreparedStatement,
  TransactionState,
  UpstreamAnswer,
  UpstreamCommand,
} from '@wisterialift/pooling';
import { isAtMost } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import type { Host, Simulation } from '../simulation/host';
import type { ComparedStatement } from '../callers/statementOracle';
import type { StreamAcceptor, StreamEnd } from '../simulation/stream';
import type { LogState, ReplicatedLog } from './replicatedLog';
import { createSlotQueue } from './slotQueue';
import type { SlotQueue } from './slotQueue';

/** What an instance sends to a database. @internal */
export type DatabaseRequest =
  | { type: 'startup'; group: string; memberId: string; client?: string }
  | { type: 'command'; command: UpstreamCommand };

/** What a database answers. @internal */
export type DatabaseReply =
  | { type: 'ready' }
  | { type: 'refused'; reason: 'wrongMember' | 'tooManyConnections' }
  | { type: 'answer'; answer: UpstreamAnswer; report?: MemberReport };

/** @internal */
export interface DatabaseLimits {
  slots: number;
  queueLength: number;
  maximumConnections: number;
  /** Time that a new connection occupies a slot. */
  handshakeTime: number;
}

/** A statement of a caller that arrives at a database. @internal */
export interface StatementArrival {
  statementId: string;
  /** Whom its connection was opened for. */
  client: string | undefined;
  /** Whether it is outside of a transaction, or the first one of a transaction. */
  isFirst: boolean;
}

/** How a database fails a share of the statements of callers. @internal */
export interface DatabaseFailure {
  share: number;
  manner: 'failed' | 'closed' | 'silent';
  /** Time that a statement that fails occupies a slot. */
  milliseconds: number;
}

/** One database behind a machine of its own. @internal */
export interface SimulatedDatabase {
  group: string;
  host: Host;
  state: LogState;
  /** Id under which it runs at present; its log keeps that of its first life. */
  memberId: () => string;
  slots: SlotQueue;
  accept: StreamAcceptor<DatabaseRequest, DatabaseReply>;
  connectionCount: () => number;
  /** Whether it has followed the primary at the usual pace for some time. */
  hasFollowed: (milliseconds: number) => boolean;
  /** Calls back as a statement of a caller arrives. */
  onStatement: (listener: (arrival: StatementArrival) => void) => void;
  /** Calls back as a statement of a caller runs. */
  onRun: (listener: (statement: ComparedStatement) => void) => void;
  /** Share of statements whose answer is lost after they ran. */
  setAnswerLoss: (share: number) => void;
  /** Which statements of callers fail; none if undefined. */
  setFailure: (failure: DatabaseFailure | undefined) => void;
  /** Resets connections of these machines and refuses new ones. */
  setRefusedClients: (names: readonly string[]) => void;
  /** Statements that failed so far because of it. */
  failedStatements: () => number;
  /** Falls silent, with its connections. */
  losePower: () => void;
  /** Runs again at its address, with or without what it held, under its id or a new one. */
  restart: (options: { isEmpty: boolean; isRenamed?: boolean }) => void;
}

/** Time that a report occupies a slot. */
const REPORT_MILLISECONDS = 0.5;

/** Interval at which a primary looks whether its replicas have received a commit. */
const SYNCHRONIZATION_CHECK_MILLISECONDS = 2;

interface Connection {
  end: StreamEnd<DatabaseReply>;
  /** Machine at the other end. */
  clientName: string;
  client: string | undefined;
  transaction: TransactionState;
  isReadOnly: boolean;
  values: Map<string, string>;
  /** Access and shape of the statements that are prepared on it. */
  prepared: Set<string>;
  writes: string[];
  /** Where the commit stands whose answer is held; undefined if none is. */
  position: Position | undefined;
  /** Whether a statement of the open transaction has come. */
  hasBegun: boolean;
  work: DatabaseRequest[];
  isWorking: boolean;
  isOpen: boolean;
}

type Effect = Omit<UpstreamAnswer & { outcome: 'refused' }, 'transaction'> | 'done';

/** Identifies a prepared statement; the access has no blank. */
const keyOf = ({ access, shape }: PreparedStatement) => `${access} ${shape}`;

/**
 * Creates a database that keeps the platform's contract.
 *
 * @param options.workTime - time of a statement of a caller, by its text.
 * @internal
 */
export function createSimulatedDatabase(options: {
  simulation: Simulation;
  group: string;
  host: Host;
  replication: ReplicatedLog;
  limits: DatabaseLimits;
  workTime: (text: string) => number;
}): SimulatedDatabase {
  const { simulation, group, host, replication, limits, workTime } = options;
  const { random, scheduler } = simulation;
  const state = replication.members.get(host.name)!;
  const { slots: count, queueLength } = limits;
  const slots = createSlotQueue({ slots: count, queueLength, scheduler });
  const connections = new Set<Connection>();
  const runListeners: ((statement: ComparedStatement) => void)[] = [];
  const statementListeners: ((arrival: StatementArrival) => void)[] = [];
  let { memberId } = state;
  let answerLoss = 0;
  let failure: DatabaseFailure | undefined;
  let failedStatements = 0;
  let refusedClients: readonly string[] = [];

  const accept: SimulatedDatabase['accept'] = (streamEnd, { name: clientName }) => {
    if (refusedClients.includes(clientName)) return undefined;
    const connection: Connection = {
      end: streamEnd,
      clientName,
      client: undefined,
      transaction: 'idle',
      isReadOnly: false,
      values: new Map(),
      prepared: new Set(),
      writes: [],
      position: undefined,
      hasBegun: false,
      work: [],
      isWorking: false,
      isOpen: true,
    };
    return {
      onMessage: (request) => {
        if (request.type === 'startup') start(connection, request);
        else enqueue(connection, request);
      },
      onClose: () => {
        connection.isOpen = false;
        connections.delete(connection);
      },
    };
  };

  function start(connection: Connection, request: DatabaseRequest & { type: 'startup' }): void {
    if (request.group !== group || request.memberId !== memberId) {
      refuseConnection(connection, 'wrongMember');
      return;
    }
    if (connections.size >= limits.maximumConnections) {
      refuseConnection(connection, 'tooManyConnections');
      return;
    }
    Object.assign(connection, { client: request.client });
    connections.add(connection);
    slots.submit({
      begin: () => (connection.isOpen ? limits.handshakeTime : undefined),
      finish: () => connection.end.send({ type: 'ready' }),
      mayWaitBeyondQueue: true,
    });
  }

  function refuseConnection(
    connection: Connection,
    reason: 'wrongMember' | 'tooManyConnections',
  ): void {
    connection.end.send({ type: 'refused', reason });
    connection.end.close();
  }

  function enqueue(connection: Connection, request: DatabaseRequest): void {
    if (request.type === 'command') noteArrival(connection, request.command);
    connection.work.push(request);
    if (!connection.isWorking) workOn(connection);
  }

  function noteArrival(connection: Connection, command: UpstreamCommand): void {
    if (!isCallers(command)) return;
    const isLater = connection.transaction === 'open' && connection.hasBegun;
    Object.assign(connection, { hasBegun: true });
    const { client } = connection;
    const arrival = { statementId: command.id, client, isFirst: !isLater };
    for (const listener of statementListeners) listener(arrival);
  }

  function workOn(connection: Connection): void {
    const request = connection.work.shift();
    Object.assign(connection, { isWorking: request !== undefined && connection.isOpen });
    if (!connection.isWorking || request?.type !== 'command') return;
    const { command } = request;
    if (isCallers(command) && failure && random.chance(failure.share)) {
      submitFailing(connection, command, failure);
      return;
    }
    const milliseconds = timeOf(command);
    if (milliseconds === 0) {
      reply(connection, command, run(connection, command));
      return;
    }
    const isTaken = slots.submit({
      begin: () => beginWork(connection, command, milliseconds),
      finish: () => finishWork(connection, command),
    });
    if (!isTaken) reply(connection, command, refusal('busy', 'all slots are taken'));
  }

  function submitFailing(
    connection: Connection,
    command: UpstreamCommand,
    { manner, milliseconds }: DatabaseFailure,
  ): void {
    const isTaken = slots.submit({
      begin: () => beginWork(connection, command, milliseconds),
      finish: () => failWork(connection, command, manner),
    });
    if (!isTaken) reply(connection, command, refusal('busy', 'all slots are taken'));
  }

  function failWork(
    connection: Connection,
    command: UpstreamCommand,
    manner: DatabaseFailure['manner'],
  ): void {
    if (!connection.isOpen) return;
    failedStatements += 1;
    const handlers: Record<DatabaseFailure['manner'], () => void> = {
      failed: () => {
        if (connection.transaction === 'open') Object.assign(connection, { transaction: 'failed' });
        reply(connection, command, refusal('failed', 'the database is faulty'));
      },
      closed: () => dropConnection(connection),
      silent: () => undefined,
    };
    handlers[manner]();
  }

  /** A statement that its log cannot serve costs no slot. */
  function beginWork(
    connection: Connection,
    command: UpstreamCommand,
    milliseconds: number,
  ): number | undefined {
    if (!connection.isOpen) return undefined;
    const refused = refusalBefore(connection, command);
    if (!refused) return milliseconds;
    reply(connection, command, refused);
    return undefined;
  }

  function finishWork(connection: Connection, command: UpstreamCommand): void {
    if (!connection.isOpen) return;
    const effect = run(connection, command);
    if (isCallers(command) && random.chance(answerLoss)) {
      workOn(connection);
      return;
    }
    replyOnceSynchronized(connection, command, effect);
  }

  /** Holds the answer until enough replicas have received what the log ends with, if it was written. */
  function replyOnceSynchronized(
    connection: Connection,
    command: UpstreamCommand,
    effect: Effect,
  ): void {
    const { position: written } = connection;
    Object.assign(connection, { position: undefined });
    const answer = () => {
      if (!connection.isOpen) return;
      const isKept = !written || state.log[written.index - 1]?.term === written.term;
      if (!isKept) dropConnection(connection);
      else if (!written || replication.isSynchronized(state, written)) {
        reply(connection, command, effect);
      } else scheduler.after(SYNCHRONIZATION_CHECK_MILLISECONDS, answer);
    };
    answer();
  }

  function timeOf(command: UpstreamCommand): number {
    if (command.type === 'forward') return workTime(command.text);
    if (command.type === 'execute') return workTime(`EXECUTE ${command.argumentsText}`);
    return command.type === 'status' ? REPORT_MILLISECONDS : 0;
  }

  function refusalBefore(
    { isReadOnly, transaction, prepared }: Connection,
    command: UpstreamCommand,
  ): Effect | undefined {
    if (command.type === 'execute' && !prepared.has(keyOf(command.statement))) {
      return refusal('unknownStatement', 'it is not prepared');
    }
    const after = 'after' in command ? command.after : undefined;
    if (after && !holds(after)) return refusal('lagging', 'the log lacks the position');
    const isPlainTransaction = transaction === 'open' && !isReadOnly;
    const needsLead = isWriteCommand(command) || isPlainTransaction;
    const isCommit = command.type === 'forward' && command.text === 'COMMIT';
    if (needsLead && !isCommit && (state.role !== 'primary' || isReadOnly)) {
      return refusal('readOnly', memberId);
    }
    return undefined;
  }

  function holds({ term, index }: Position): boolean {
    if (!isAtMost({ term, index }, replication.appliedPosition(state))) return false;
    return index === 0 || state.log[index - 1]?.term === term;
  }

  function run(connection: Connection, command: UpstreamCommand): Effect {
    const refused = refusalBefore(connection, command);
    if (refused) {
      if (connection.transaction === 'open') Object.assign(connection, { transaction: 'failed' });
      return refused;
    }
    if (isCallers(command)) noteRun(connection, command);
    const handlers: Partial<Record<UpstreamCommand['type'], () => Effect>> = {
      forward: () => runText(connection, (command as { text: string }).text),
      execute: () => execute(connection, command as UpstreamCommand & { type: 'execute' }),
      set: () => {
        const { name, value } = command as { name: string; value: string };
        connection.values.set(name, value);
        return 'done';
      },
      prepare: () => {
        connection.prepared.add(keyOf((command as { statement: PreparedStatement }).statement));
        return 'done';
      },
      reset: () =>
        control(() => {
          connection.values.clear();
          connection.prepared.clear();
        }),
      begin: () => begin(connection, (command as { isReadOnly: boolean }).isReadOnly),
      rollback: () => endTransaction(connection),
      pause: () => control(() => replication.stop(state, (command as { term: number }).term)),
      resume: () => control(() => replication.resume(state)),
      demote: () => control(() => replication.demote(state, (command as { term: number }).term)),
    };
    return handlers[command.type]?.() ?? 'done';
  }

  function noteRun(
    { values }: Connection,
    command: UpstreamCommand & { type: 'forward' | 'execute' },
  ): void {
    const isPrepared = command.type === 'execute';
    const statement: ComparedStatement = {
      id: command.id,
      text: isPrepared ? command.argumentsText : command.text,
      prepared: isPrepared ? command.statement : undefined,
      values: new Map(values),
    };
    for (const listener of runListeners) listener(statement);
  }

  function execute(
    connection: Connection,
    { statement, argumentsText }: UpstreamCommand & { type: 'execute' },
  ): Effect {
    const verb = statement.access === 'write' ? 'WRITE' : 'READ';
    return runText(connection, `${verb} ${argumentsText}`);
  }

  function control(action: () => void): Effect {
    action();
    return 'done';
  }

  function begin(connection: Connection, isReadOnly: boolean): Effect {
    if (!isReadOnly && state.role !== 'primary') return refusal('readOnly', memberId);
    Object.assign(connection, {
      transaction: 'open',
      isReadOnly,
      writes: [],
      hasBegun: false,
    });
    return 'done';
  }

  function endTransaction(connection: Connection): Effect {
    Object.assign(connection, { transaction: 'idle', isReadOnly: false, writes: [] });
    return 'done';
  }

  function runText(connection: Connection, text: string): Effect {
    if (text === 'COMMIT') return commit(connection);
    const write = writeOf(text);
    if (write === undefined) return 'done';
    if (connection.transaction === 'open') connection.writes.push(write);
    else Object.assign(connection, { position: replication.commit(state, [write]) });
    return 'done';
  }

  function commit(connection: Connection): Effect {
    const { transaction, writes } = connection;
    endTransaction(connection);
    if (transaction !== 'open') return refusal('aborted', 'the transaction had failed');
    if (writes.length === 0) return 'done';
    if (state.role !== 'primary') return refusal('readOnly', memberId);
    Object.assign(connection, { position: replication.commit(state, writes) });
    return 'done';
  }

  function reply(connection: Connection, command: UpstreamCommand, effect: Effect): void {
    const position = replication.appliedPosition(state);
    const { transaction } = connection;
    const rows = [`${position.term}.${position.index}`];
    const completed = { outcome: 'completed' as const, rows, signature: memberId };
    const answer: UpstreamAnswer = {
      ...(effect === 'done' ? completed : effect),
      transaction,
      position,
    };
    const report = isControl(command) ? describe() : undefined;
    connection.end.send({ type: 'answer', answer, report });
    workOn(connection);
  }

  function describe(): MemberReport {
    const received = replication.end(state);
    return { isPrimary: state.role === 'primary', term: state.term, received };
  }

  function dropConnection(connection: Connection): void {
    Object.assign(connection, { isOpen: false });
    connections.delete(connection);
    connection.end.close();
  }

  function endConnections(): void {
    connections.clear();
    slots.clear();
  }

  return {
    group,
    host,
    state,
    memberId: () => memberId,
    slots,
    accept,
    onStatement: (listener) => statementListeners.push(listener),
    onRun: (listener) => runListeners.push(listener),
    connectionCount: () => connections.size,
    hasFollowed: (milliseconds) => {
      const since = replication.followsSince(state.memberId);
      const isLong = since !== undefined && scheduler.now() - since >= milliseconds;
      return state.role === 'replica' && isLong;
    },
    setAnswerLoss: (share) => {
      answerLoss = share;
    },
    setFailure: (next) => {
      failure = next;
    },
    setRefusedClients: (names) => {
      refusedClients = names;
      for (const connection of [...connections]) {
        if (names.includes(connection.clientName)) dropConnection(connection);
      }
    },
    failedStatements: () => failedStatements,
    losePower: () => {
      state.isUp = false;
      endConnections();
      host.losePower();
    },
    restart: ({ isEmpty, isRenamed }) => {
      endConnections();
      if (host.isPowered()) host.kill();
      host.restorePower();
      if (isRenamed) memberId = `${state.memberId}-${host.life()}`;
      if (isEmpty) replication.restartEmpty(state.memberId);
      else replication.restart(state.memberId);
    },
  };
}

function refusal(
  reason: 'busy' | 'lagging' | 'readOnly' | 'aborted' | 'failed' | 'unknownStatement',
  detail: string,
): Effect {
  return { outcome: 'refused', reason, detail };
}

function isControl({ type }: UpstreamCommand): boolean {
  return type === 'status' || type === 'pause' || type === 'resume' || type === 'demote';
}

/** Whether it is a statement of a caller. */
function isCallers(
  command: UpstreamCommand,
): command is UpstreamCommand & { type: 'forward' | 'execute' } {
  return command.type === 'forward' || command.type === 'execute';
}

function isWriteCommand(command: UpstreamCommand): boolean {
  if (command.type === 'execute') return command.statement.access === 'write';
  return command.type === 'forward' && command.text.startsWith('WRITE');
}

/** The value of a write's text, `WRITE item value`; undefined for a read. */
function writeOf(text: string): string | undefined {
  return text.startsWith('WRITE') ? text.split(' ')[2] : undefined;
}
