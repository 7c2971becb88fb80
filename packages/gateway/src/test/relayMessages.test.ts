import { createRelayClient, createRelayServer } from '@wisterialift/peer/relay';
import type { RelayStatement } from '@wisterialift/peer/relay';
import { expect, it, onTestFinished } from 'vitest';
import { decodeStatement, encodeStatement } from '../lib/relay/relayMessages';
import { createRelayRequest, createTestRoute, createTestStamp, noop } from './fixture';

const STAMP = createTestStamp(0);

/** Sends a statement over a stream between two instances. */
async function sendToOtherInstance(statement: RelayStatement): Promise<RelayStatement> {
  let onReceived: (received: RelayStatement) => void = noop;
  const received = new Promise<RelayStatement>((resolve) => {
    onReceived = resolve;
  });
  const server = createRelayServer({
    host: '127.0.0.1',
    port: 0,
    accept: () => ({ onRequest: (request) => onReceived(request.statement!), onEnd: noop }),
  });
  const address = `127.0.0.1:${await server.start()}`;
  const stream = createRelayClient().open(address, { onResponse: noop, onLost: noop });
  onTestFinished(() => {
    stream.close();
    server.stop();
  });
  stream.send(createRelayRequest({ statement }));
  return received;
}

it('a relayed statement has all values of its session and the texts of its caller', async () => {
  // Guards against a statement that runs at a holder with other values or another text.
  const text = Array.from({ length: 256 }, (_, code) => String.fromCharCode(code)).join('');
  const names = ['__proto__', 'constructor', '1', '', ' a ', text];
  const request = {
    id: text,
    text,
    prepared: { statement: { access: 'read' as const, shape: text }, argumentsText: ' ' },
    session: { stateVersion: 1, lastCommit: undefined },
    sessionState: { version: 1, values: new Map(names.map((name) => [name, text])) },
    team: text,
    route: createTestRoute({ database: text, group: '__proto__' }),
    configurationVersion: 1,
    arrivalStamp: STAMP,
    deadlineAt: 1_000,
  };
  const sent = encodeStatement(request, { action: 'read', now: 0 });
  const received = await sendToOtherInstance(sent);
  expect(decodeStatement(received, { arrivalStamp: STAMP })).toEqual(request);
});
