import { comparePositions, type Position } from '@wisterialift/schema';
import type { Access } from '@wisterialift/core';
import type { CallerStatement } from '../fakes/fakeDatabase';
import type { FakeProxy, ProxyAnswer } from '../fakes/fakeProxy';
import type { Oracle } from '../oracle/oracle';
import type { Network } from '../simulation/network';
import type { Scheduler } from '../simulation/scheduler';
import type { Operation, OperationKind, SessionPlan } from './historyPlan';

/** @public */
export interface SessionOptions {
  name: string;
  plan: SessionPlan;
  scheduler: Scheduler;
  network: Network;
  oracle: Oracle;
  deadlineMilliseconds: number;
  /** Accepted age of its stale reads. */
  stalenessMilliseconds: number;
  /** Time after which the session starts nothing more. */
  until: number;
  /** The proxy that holds a place behind the balancer now. */
  findProxy: (place: number) => FakeProxy;
}

/** A request before it has a number. */
interface Draft {
  access: Access;
  statement: CallerStatement;
  writes: readonly string[];
  fails?: boolean;
  isRepeatable?: boolean;
  staleness?: number;
  transactionId?: string;
  cancelAfter?: number;
}

/** Name of the callers' side of the network. @public */
export const CALLERS = 'callers';
/** A caller that hears nothing goes on after this time. */
const CALLER_PATIENCE_MILLISECONDS = 4_000;
const TRANSACTION_WRITES = 3;

/**
 * Starts a session: it sends its operations through whichever proxy it is connected to, also while
 * an earlier one is open at another proxy, and keeps what it was told.
 *
 * @public
 */
export function startSession(options: SessionOptions): void {
  const { name, plan, scheduler, network, oracle, findProxy } = options;
  const { deadlineMilliseconds, stalenessMilliseconds } = options;
  const acknowledged: string[] = [];
  let token: Position | undefined;
  let requestNumber = 0;

  const nextId = () => {
    requestNumber += 1;
    return `${name}.${requestNumber}`;
  };

  const remember = (draft: Draft, { outcome }: ProxyAnswer) => {
    if (outcome.status !== 'done' || draft.fails || draft.access === 'read') return;
    acknowledged.push(...draft.writes);
    const { position } = outcome;
    if (position && (!token || comparePositions(position, token) > 0)) token = position;
  };

  /** Sends a request; `onOver` runs once, with the answer or after the caller's patience. */
  const send = (
    proxy: FakeProxy,
    requestId: string,
    draft: Draft,
    onOver: (answer: ProxyAnswer | undefined) => void,
  ) => {
    const staleness = draft.staleness ?? 0;
    let isOver = false;
    const end = (answer: ProxyAnswer | undefined) => {
      if (isOver) return;
      isOver = true;
      if (answer) remember(draft, answer);
      onOver(answer);
    };
    oracle.onIssued({
      requestId,
      access: draft.access,
      session: name,
      writes: draft.writes,
      deadlineMilliseconds,
      maximumStalenessMilliseconds: staleness,
      mustSee: [...acknowledged],
      fails: draft.fails ?? false,
    });
    const withToken = plan.carriesToken && token && draft.access === 'read';
    network.send(CALLERS, proxy.name, () =>
      proxy.submit({
        request: {
          requestId,
          caller: name,
          weight: 1,
          kind: 'default',
          access: draft.access,
          maximumStalenessMilliseconds: staleness,
          priority: 5,
          isRepeatable: draft.isRepeatable ?? true,
          ...(withToken ? { token } : {}),
          ...(draft.transactionId ? { transactionId: draft.transactionId } : {}),
        },
        deadlineMilliseconds,
        statement: draft.statement,
        onAnswer: (answer) => network.send(proxy.name, CALLERS, () => end(answer)),
      }),
    );
    if (draft.cancelAfter !== undefined) {
      scheduler.after(draft.cancelAfter, () => {
        if (!isOver) network.send(CALLERS, proxy.name, () => proxy.cancel(requestId));
        end(undefined);
      });
    }
    scheduler.after(CALLER_PATIENCE_MILLISECONDS, () => end(undefined));
  };

  const draftWrite = (requestId: string, fails: boolean, isRepeatable: boolean): Draft => {
    const writes = fails ? [] : [`w${requestId}`];
    return {
      access: 'write',
      statement: { kind: 'write', writes, fails },
      writes,
      fails,
      isRepeatable,
    };
  };

  const runTransaction = (proxy: FakeProxy, transactionId: string, onOver: () => void) => {
    const writes = Array.from(
      { length: TRANSACTION_WRITES },
      (unused, index) => `w${transactionId}/${index}`,
    );
    const giveUp = () => {
      proxy.finishTransaction(transactionId);
      onOver();
    };
    const commit = () => {
      const draft: Draft = {
        access: 'commit',
        statement: { kind: 'commit', connection: transactionId },
        writes,
        transactionId,
      };
      send(proxy, nextId(), draft, giveUp);
    };
    const add = (index: number) => {
      if (index === writes.length) {
        commit();
        return;
      }
      let isAnswered = false;
      const onAdded = (isDone: boolean) => {
        if (isAnswered) return;
        isAnswered = true;
        if (isDone) add(index + 1);
        else giveUp();
      };
      proxy.addToTransaction(transactionId, writes[index]!, onAdded);
      scheduler.after(CALLER_PATIENCE_MILLISECONDS, () => onAdded(false));
    };
    const begin: Draft = {
      access: 'transaction',
      statement: { kind: 'begin', connection: transactionId },
      writes: [],
    };
    send(proxy, transactionId, begin, (answer) => {
      if (answer?.outcome.status === 'done') add(0);
      else giveUp();
    });
  };

  const runWrite = (proxy: FakeProxy, operation: Operation, onOver: () => void) => {
    const requestId = nextId();
    const { kind, cancelAfterMilliseconds: cancelAfter } = operation;
    const draft = draftWrite(requestId, kind === 'failingWrite', kind !== 'uniqueWrite');
    send(proxy, requestId, { ...draft, cancelAfter }, onOver);
  };

  const runRead = (proxy: FakeProxy, operation: Operation, onOver: () => void) => {
    const { kind, cancelAfterMilliseconds: cancelAfter } = operation;
    const staleness = kind === 'staleRead' ? stalenessMilliseconds : 0;
    const statement: CallerStatement = { kind: 'read' };
    send(
      proxy,
      nextId(),
      { access: 'read', statement, writes: [], staleness, cancelAfter },
      onOver,
    );
  };

  const runners: Record<
    OperationKind,
    (proxy: FakeProxy, operation: Operation, onOver: () => void) => void
  > = {
    write: runWrite,
    uniqueWrite: runWrite,
    failingWrite: runWrite,
    read: runRead,
    staleRead: runRead,
    transaction: (proxy, _operation, onOver) => runTransaction(proxy, nextId(), onOver),
  };

  const runFrom = (index: number) => {
    const operation = plan.operations[index];
    if (operation && scheduler.now() < options.until) {
      scheduler.after(operation.pauseMilliseconds, () => runOperation(operation, index));
    }
  };

  function runOperation(operation: Operation, index: number) {
    const proxy = findProxy(operation.proxy);
    const next = () => runFrom(index + 1);
    if (!proxy.acceptsRequests()) {
      next();
      return;
    }
    if (operation.isConcurrent) {
      runners[operation.kind](proxy, operation, () => {});
      next();
    } else {
      runners[operation.kind](proxy, operation, next);
    }
  }

  scheduler.after(plan.startMilliseconds, () => runFrom(0));
}
