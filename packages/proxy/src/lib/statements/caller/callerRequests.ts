import { mayCommit } from '@wisterialift/core';
import type { Access, EngineRequest, ClassifiedStatement } from '@wisterialift/core';
import type { CallerConnection, CompletedAnswer, FinalPacket } from '@wisterialift/mysql';
import { toFrames } from '@wisterialift/mysql';
import {
  DEFAULT_REQUEST_KIND,
  type Configuration,
  type RequestOutcome,
  type RequestKind,
} from '@wisterialift/schema';
import { createMailbox } from '../mailbox';
import type { CallerMessage } from '../callerMessages';
import type { AnswerWriter } from './answerWriter';
import { createCallerError, createOutcomeError } from './callerErrors';
import { createUnknownKindError, type CallerSession } from './callerSession';
import type {
  FinishedRequest,
  GroupServices,
  RequestObservation,
  ReceivedStatement,
} from './callerTypes';
import { findCaller } from './loginCheck';
import { findKind } from './requestKinds';

/** Identifies an open transaction of a group. @internal */
export interface TransactionReference {
  id: string;
  services: GroupServices;
}

/** Submits the requests of a caller connection, one at a time. @internal */
export interface CallerRequests {
  readonly isBusy: boolean;
  /**
   * Submits a statement to the group's engine. If no group is selected, sends an error to the caller.
   *
   * @throws InvalidTokenError, InvalidSessionVariableError, TruncatedExecuteError before anything is
   * sent.
   */
  submit: (submission: Submission) => void;
  /**
   * Submits a statement to the connection of an open transaction, bypassing the engine.
   *
   * @throws InvalidTokenError, InvalidSessionVariableError, TruncatedExecuteError before anything is
   * sent.
   */
  submitInTransaction: (submission: TransactionSubmission) => void;
  /** Sends the database's answer, or an error of the proxy, to the caller. */
  sendAnswer: (finished: FinishedRequest) => void;
  /** Reports the outcome and latency of the current request; `sendAnswer` does so itself. */
  observe: (status: RequestOutcome['status']) => void;
  /** Clears the current request; call after its answer has been sent. */
  clearCurrent: () => void;
  /** Cancels the current request because the caller has disconnected. */
  cancel: () => void;
  onDrain: () => void;
}

interface Submission {
  access: Access;
  received: ReceivedStatement;
  /** Set for access `commit`. */
  transaction?: TransactionReference;
  onFinished: (finished: FinishedRequest) => void;
}

interface TransactionSubmission {
  received: ReceivedStatement;
  transaction: TransactionReference;
  onFinished: (finished: FinishedRequest) => void;
}

/** @internal */
export interface CallerRequestsOptions {
  caller: string;
  connection: CallerConnection;
  answers: AnswerWriter;
  callerSession: CallerSession;
  getConfiguration: () => Configuration;
  findGroup: (group: string) => GroupServices | undefined;
  clock: () => number;
  observe: (observation: RequestObservation) => void;
  /**
   * Called when an open transaction was ended while no statement of it ran: its upstream connection
   * closed, or it was idle for too long.
   */
  onTransactionLost: (transactionId: string) => void;
}

interface CurrentRequest {
  requestId: string;
  group: string;
  services: GroupServices;
  access: Access;
  kind: string;
  startedAt: number;
  /** Sequence number of the answer's next packet. */
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

/** @internal */
export function createCallerRequests(options: CallerRequestsOptions): CallerRequests {
  const { caller, connection, answers, callerSession, getConfiguration, clock } = options;
  const { session } = callerSession;
  let current: CurrentRequest | undefined;
  let requestCount = 0;

  const messageHandlers: MessageHandlers = {
    answerContinued: ({ requestId, frames, nextSequence }) => {
      if (current?.requestId !== requestId) return;
      current.nextSequence = nextSequence;
      connection.writeFrames(frames);
      if (connection.isFull) setPaused(true);
    },
    requestAnswered: ({ requestId, outcome, answer }) => {
      if (current?.requestId !== requestId) return;
      current.onFinished({ requestId, outcome, answer });
    },
    transactionLost: ({ transactionId }) => options.onTransactionLost(transactionId),
  };
  const mailbox = createMailbox<CallerMessage>((message) => {
    const handle = messageHandlers[message.type] as (message: CallerMessage) => void;
    handle(message);
  });

  const finalHandlers: FinalHandlers = {
    ok: ({ ok }, { frames, sequence }) => {
      callerSession.setLastInsertId(ok.insertId);
      connection.writeFrames(frames);
      answers.sendOk(ok, sequence, ok.gtid === undefined ? undefined : session.createToken());
    },
    eof: ({ payload }, { frames, sequence }) => {
      answers.sendFrames([...frames, toFrames(payload, sequence)]);
    },
    error: ({ error }, { frames, sequence }) => {
      connection.writeFrames(frames);
      answers.sendError(error, sequence);
    },
    prepared: () => {
      answers.sendError(
        createCallerError('unknownStatement', 'No prepared statement was asked for'),
      );
    },
  };

  /** Pauses or resumes reading from the database, depending on the caller's write buffer. */
  function setPaused(isPaused: boolean): void {
    if (!current || current.isPaused === isPaused) return;
    current.isPaused = isPaused;
    const { requestId, services } = current;
    services.mailbox.post({ type: 'flowChanged', requestId, isPaused });
  }

  function createRequest(
    access: Access,
    { options: { kind: kindOption, token } }: ClassifiedStatement,
    group: string,
    transactionId?: string,
  ): EngineRequest {
    const kind = kindOption ?? session.kind ?? DEFAULT_REQUEST_KIND;
    const settings = getKindSettings(kind);
    const arrivedAt = clock();
    requestCount += 1;
    return {
      requestId: `${connection.id}-${requestCount}`,
      caller,
      weight: findCaller(getConfiguration(), caller)?.weight ?? 1,
      kind,
      access,
      token: access === 'commit' ? undefined : session.resolveFloor(group, token),
      maximumStalenessMilliseconds: settings.maximumStalenessMilliseconds,
      arrivedAt,
      deadlineAt: arrivedAt + settings.deadlineMilliseconds,
      priority: settings.priority,
      isRepeatable: settings.isRepeatable,
      transactionId,
    };
  }

  function getKindSettings(name: string): RequestKind {
    const settings = findKind(getConfiguration(), name);
    if (!settings) throw createUnknownKindError(name);
    return settings;
  }

  function setCurrent(
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
      nextSequence: connection.firstSequence,
      isPaused: false,
      onFinished,
    };
  }

  function observe(status: RequestOutcome['status']): void {
    if (!current) return;
    const { group, kind, access, startedAt } = current;
    const latencyMilliseconds = clock() - startedAt;
    options.observe({ group, kind, caller, access, status, latencyMilliseconds });
  }

  return {
    get isBusy() {
      return current !== undefined;
    },
    submit: ({ access, received, transaction, onFinished }) => {
      const { group } = callerSession;
      const services =
        transaction?.services ?? (group === undefined ? undefined : options.findGroup(group));
      if (group === undefined || !services) {
        answers.sendError(createCallerError('noGroupSelected', 'No group selected'));
        return;
      }
      const request = createRequest(access, received.statement, group, transaction?.id);
      const statement = received.toUpstream();
      setCurrent(request, { group, services, onFinished });
      services.mailbox.post({
        type: 'requestSubmitted',
        request,
        statement,
        caller: mailbox,
      });
    },
    submitInTransaction: ({ received, transaction, onFinished }) => {
      const { id, services } = transaction;
      const group = callerSession.group ?? '';
      // This request does not pass through the engine; its access is reported only in metrics.
      const request = createRequest('transaction', received.statement, group);
      const { requestId, deadlineAt } = request;
      const statement = {
        requestId,
        transactionId: id,
        statement: received.toUpstream(),
        mayCommit: mayCommit(received.statement),
        deadlineAt,
        caller: mailbox,
      };
      setCurrent(request, { group, services, onFinished });
      services.mailbox.post({ type: 'transactionStatementSubmitted', statement });
    },
    sendAnswer: ({ outcome, answer }) => {
      if (!current) return;
      const { group, nextSequence } = current;
      observe(outcome.status);
      if (outcome.status !== 'done') {
        answers.sendError(createOutcomeError(outcome), nextSequence);
        return;
      }
      if (outcome.position) session.addWrite(group, outcome.position);
      if (!answer) {
        answers.sendError(
          createCallerError('unknown', 'Outcome unknown: no answer was kept'),
          nextSequence,
        );
        return;
      }
      const handle = finalHandlers[answer.final.type] as (
        final: FinalPacket,
        answer: CompletedAnswer,
      ) => void;
      handle(answer.final, answer);
    },
    observe,
    clearCurrent: () => {
      current = undefined;
    },
    cancel: () => {
      if (!current) return;
      const { services, requestId } = current;
      services.mailbox.post({ type: 'requestCancelled', requestId });
      current = undefined;
    },
    onDrain: () => setPaused(false),
  };
}
