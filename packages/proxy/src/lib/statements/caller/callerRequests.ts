import type { Access, EngineRequest, Statement } from '@wisterialift/core';
import type { CallerConnection, CompletedAnswer, FinalPacket } from '@wisterialift/mysql';
import { toFrames } from '@wisterialift/mysql';
import {
  DEFAULT_KIND,
  type Configuration,
  type Outcome,
  type RequestKind,
} from '@wisterialift/schema';
import { createMailbox } from '../mailbox';
import type { CallerMessage } from '../callerMessages';
import { FIRST_SEQUENCE, type AnswerWriter } from './answerWriter';
import { callerError, outcomeError } from './callerErrors';
import { unknownKind, type CallerSession } from './callerSession';
import type {
  FinishedRequest,
  GroupServices,
  RequestObservation,
  StatementWork,
} from './callerTypes';
import { findCaller } from './loginCheck';
import { findKind } from './requestKinds';

/** A transaction that statements belong to. @internal */
export interface TransactionReference {
  id: string;
  services: GroupServices;
}

/** The request of a caller connection that is on its way; there is one at a time. @internal */
export interface CallerRequests {
  readonly isBusy: boolean;
  /**
   * Hands a statement to the group's engine.
   *
   * @throws InvalidTokenError, InvalidSessionVariableError, CutExecuteError before anything is sent.
   */
  submit: (submission: Submission) => void;
  /** Hands a statement to the connection of an open transaction; the engine has no part in it. */
  submitInTransaction: (submission: TransactionSubmission) => void;
  /** Hands the answer of a database on, or the proxy's own error. */
  deliver: (finished: FinishedRequest) => void;
  /** Counts the present request as ended where `deliver` is not called. */
  observe: (status: Outcome['status']) => void;
  /** The answer was sent. */
  forget: () => void;
  /** The caller has gone. */
  withdraw: () => void;
  onDrain: () => void;
}

interface Submission {
  access: Access;
  work: StatementWork;
  /** Given with access `commit`. */
  transaction?: TransactionReference;
  onFinished: (finished: FinishedRequest) => void;
}

interface TransactionSubmission {
  work: StatementWork;
  transaction: TransactionReference;
  onFinished: (finished: FinishedRequest) => void;
}

/** @internal */
export interface CallerRequestsOptions {
  caller: string;
  connection: CallerConnection;
  answers: AnswerWriter;
  callerSession: CallerSession;
  configuration: () => Configuration;
  findGroup: (group: string) => GroupServices | undefined;
  clock: () => number;
  observe: (observation: RequestObservation) => void;
  /** The connection of an open transaction broke between two statements. */
  onTransactionLost: (transactionId: string) => void;
}

interface CurrentRequest {
  requestId: string;
  group: string;
  services: GroupServices;
  access: Access;
  kind: string;
  startedAt: number;
  /** Number of the answer's next packet. */
  nextSequence: number;
  isPaused: boolean;
  onFinished: (finished: FinishedRequest) => void;
}

type MessageHandlers = {
  [Type in CallerMessage['type']]: (message: Extract<CallerMessage, { type: Type }>) => void;
};

type FinalHandlers = {
  [Type in FinalPacket['type']]: (
    final: Extract<FinalPacket, { type: Type }>,
    answer: CompletedAnswer,
  ) => void;
};

/** Creates the requests of a caller connection. @internal */
export function createCallerRequests(options: CallerRequestsOptions): CallerRequests {
  const { caller, connection, answers, callerSession, configuration, clock } = options;
  const { session } = callerSession;
  let current: CurrentRequest | undefined;
  let requestCount = 0;

  const messageHandlers: MessageHandlers = {
    answerContinued: ({ requestId, frames, nextSequence }) => {
      if (current?.requestId !== requestId) return;
      current.nextSequence = nextSequence;
      connection.writeFrames(frames);
      if (connection.isFull) changeFlow(true);
    },
    requestAnswered: ({ requestId, outcome, answer }) => {
      if (current?.requestId !== requestId) return;
      current.onFinished({ requestId, outcome, answer });
    },
    transactionLost: ({ transactionId }) => options.onTransactionLost(transactionId),
  };
  const port = createMailbox<CallerMessage>((message) => {
    const handle = messageHandlers[message.type] as (message: CallerMessage) => void;
    handle(message);
  });

  const finalHandlers: FinalHandlers = {
    ok: ({ ok }, { frames, sequence }) => {
      callerSession.rememberInsertId(ok.insertId);
      connection.writeFrames(frames);
      answers.ok(ok, sequence, ok.gtid === undefined ? undefined : session.token());
    },
    eof: ({ payload }, { frames, sequence }) => {
      answers.frames([...frames, toFrames(payload, sequence)]);
    },
    error: ({ error }, { frames, sequence }) => {
      connection.writeFrames(frames);
      answers.error(error, sequence);
    },
    prepared: () => {
      answers.error(callerError('unknownStatement', 'No prepared statement was asked for'));
    },
  };

  /** Asks the database to wait, or to go on: the caller's socket is full, or has room again. */
  function changeFlow(isPaused: boolean): void {
    if (!current || current.isPaused === isPaused) return;
    current.isPaused = isPaused;
    const { requestId, services } = current;
    services.port.post({ type: 'flowChanged', requestId, isPaused });
  }

  function createRequest(
    access: Access,
    { options: { kind: kindOption, token } }: Statement,
    group: string,
    transactionId?: string,
  ): EngineRequest {
    const kind = kindOption ?? session.kind ?? DEFAULT_KIND;
    const settings = kindSettings(kind);
    const arrivedAt = clock();
    requestCount += 1;
    return {
      requestId: `${connection.id}-${requestCount}`,
      caller,
      weight: findCaller(configuration(), caller)?.weight ?? 1,
      kind,
      access,
      token: access === 'commit' ? undefined : session.floorOf(group, token),
      maximumStalenessMilliseconds: settings.maximumStalenessMilliseconds,
      arrivedAt,
      deadlineAt: arrivedAt + settings.deadlineMilliseconds,
      priority: settings.priority,
      isRepeatable: settings.isRepeatable,
      transactionId,
    };
  }

  function kindSettings(name: string): RequestKind {
    const settings = findKind(configuration(), name);
    if (!settings) throw unknownKind(name);
    return settings;
  }

  function track(
    { requestId, access, kind, arrivedAt }: EngineRequest,
    { group, services, onFinished }: Pick<CurrentRequest, 'group' | 'services' | 'onFinished'>,
  ): void {
    current = {
      requestId,
      group,
      services,
      access,
      kind,
      startedAt: arrivedAt,
      nextSequence: FIRST_SEQUENCE,
      isPaused: false,
      onFinished,
    };
  }

  function observe(status: Outcome['status']): void {
    if (!current) return;
    const { group, kind, access, startedAt } = current;
    const latencyMilliseconds = clock() - startedAt;
    options.observe({ group, kind, caller, access, status, latencyMilliseconds });
  }

  return {
    get isBusy() {
      return current !== undefined;
    },
    submit: ({ access, work, transaction, onFinished }) => {
      const { group } = callerSession;
      const services =
        transaction?.services ?? (group === undefined ? undefined : options.findGroup(group));
      if (group === undefined || !services) {
        answers.error(callerError('noGroupSelected', 'No group selected'));
        return;
      }
      const request = createRequest(access, work.statement, group, transaction?.id);
      const statement = work.upstream();
      track(request, { group, services, onFinished });
      services.port.post({
        type: 'requestSubmitted',
        request,
        statement,
        caller: port,
      });
    },
    submitInTransaction: ({ work, transaction, onFinished }) => {
      const { id, services } = transaction;
      const group = callerSession.group ?? '';
      const request = createRequest('transaction', work.statement, group);
      const { requestId, deadlineAt } = request;
      const statement = {
        requestId,
        transactionId: id,
        statement: work.upstream(),
        deadlineAt,
        caller: port,
      };
      track(request, { group, services, onFinished });
      services.port.post({ type: 'transactionStatementSubmitted', statement });
    },
    deliver: ({ outcome, answer }) => {
      if (!current) return;
      const { group, nextSequence } = current;
      observe(outcome.status);
      if (outcome.status !== 'done') {
        answers.error(outcomeError(outcome), nextSequence);
        return;
      }
      if (outcome.position) session.addWrite(group, outcome.position);
      if (!answer) {
        answers.error(callerError('unknown', 'Outcome unknown: no answer was kept'), nextSequence);
        return;
      }
      const handle = finalHandlers[answer.final.type] as (
        final: FinalPacket,
        answer: CompletedAnswer,
      ) => void;
      handle(answer.final, answer);
    },
    observe,
    forget: () => {
      current = undefined;
    },
    withdraw: () => {
      if (!current) return;
      const { services, requestId } = current;
      services.port.post({ type: 'requestWithdrawn', requestId });
      current = undefined;
    },
    onDrain: () => changeFlow(false),
  };
}
