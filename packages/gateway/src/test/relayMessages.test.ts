import { createRelayClient, createRelayServer } from '@wisterialift/peer/relay';
import type { RelayStatement } from '@wisterialift/peer/relay';
import { expect, it, onTestFinished } from 'vitest';
import type { StatementRequest } from '../lib/groups/statementRequest';
import {
  decodeAnswer,
  decodeStatement,
  encodeAnswer,
  encodeStatement,
} from '../lib/relay/relayMessages';
import { createRelayRequest, createTestRoute, createTestStamp, noop } from './fixture';

const STAMP = createTestStamp(0);

/** Sends a statement over a stream between two instances. */
async function sendToOtherInstance(statement: RelayStatement): Promise<RelayStatement> {
  let resolveReceived: (received: RelayStatement) => void = noop;
  const server = createRelayServer({
    host: '127.0.0.1',
    port: 0,
    accept: () => ({
      onRequest: (request) => resolveReceived(request.statement!),
      onEnd: noop,
    }),
  });
  const address = `127.0.0.1:${await server.start()}`;
  return new Promise((resolve, reject) => {
    resolveReceived = resolve;
    const stream = createRelayClient().open(address, { onResponse: noop, onLost: reject });
    onTestFinished(() => {
      stream.close();
      server.stop();
    });
    stream.send(createRelayRequest({ statement }));
  });
}

/** Creates a request with texts that only `changes` name. */
const createRequest = (changes: Partial<StatementRequest> = {}): StatementRequest => ({
  id: 'q1',
  text: 'READ lamp-1',
  session: { stateVersion: 1, lastCommit: undefined },
  sessionState: { version: 1, values: new Map() },
  route: createTestRoute(),
  configurationVersion: 1,
  arrivalStamp: STAMP,
  deadlineAt: 1_000,
  ...changes,
});

it('a relayed statement has all values of its session and the texts of its caller', async () => {
  // Guards against a statement that runs at a holder with other values or another text.
  const text = Array.from({ length: 256 }, (_, code) => String.fromCharCode(code)).join('');
  const names = ['__proto__', 'constructor', '1', '', ' a ', text];
  const request = createRequest({
    id: text,
    text,
    prepared: { statement: { access: 'read', shape: text }, argumentsText: ' ' },
    sessionState: { version: 1, values: new Map(names.map((name) => [name, text])) },
    team: text,
    route: createTestRoute({ database: text, group: '__proto__' }),
  });
  const sent = encodeStatement(request, { action: 'read', now: 0 });
  const received = await sendToOtherInstance(sent);
  expect(decodeStatement(received, { arrivalStamp: STAMP })).toEqual(request);
});

it('a relayed statement has the nearest times and priority that its message can hold', async () => {
  // Guards against a route whose numbers end the stream that carries the statements of other routes.
  const route = { maximumStaleness: 5e9, timeout: 1e300, goal: 0.4, priority: 1.6 };
  const session = {
    stateVersion: 1,
    lastCommit: { position: { term: 1, index: 1 }, seenAt: -1e12 },
  };
  const request = createRequest({ route: createTestRoute(route), session, deadlineAt: 1e300 });
  const sent = encodeStatement(request, { action: 'read', now: 0 });
  const received = decodeStatement(await sendToOtherInstance(sent), { arrivalStamp: STAMP });
  const longest = 2 ** 32 - 1;
  expect(received).toMatchObject({
    route: { maximumStaleness: longest, timeout: longest, goal: 0, priority: 2 },
    session: { lastCommit: { seenAt: -longest } },
    deadlineAt: longest,
  });
});

it.each(['', 'overloaded', 'constructor', '__proto__'])(
  'an answer with the unknown reason "%s" is not read, nor a statement with it as its access',
  (unknown) => {
    // Guards against a refusal that its caller cannot read, and a write that is taken for a read.
    const refusal = {
      outcome: 'refused',
      reason: 'busy',
      detail: '',
      transaction: 'idle',
    } as const;
    const answer = encodeAnswer(refusal, { lastCommit: undefined, now: 0 });
    expect(decodeAnswer(answer)).toEqual({ ...refusal, position: undefined });
    expect(() => decodeAnswer({ ...answer, reason: unknown })).toThrow('unknown failure reason');
    const prepared = { access: unknown, shape: 'q1', argumentsText: '' };
    const statement = { ...encodeStatement(createRequest(), { action: 'read', now: 0 }), prepared };
    expect(() => decodeStatement(statement, { arrivalStamp: STAMP })).toThrow('unknown access');
  },
);
