import { expect, onTestFinished, test } from 'vitest';
import {
  createGroupControlConnection,
  type ControlQuestion,
  type ControlResponse,
  type UpstreamAddress,
} from '@wisterialift/mysql';
import { DEFAULT_DATABASE_OPTIONS, createStandInDatabase } from '@wisterialift/stand-in-database';
import { createUpstreamPool } from '../lib/statements/group/upstreamPool';
import { waitUntil } from './statementsFixture';

async function startDatabase(port: number): Promise<{ port: number; stop: () => Promise<void> }> {
  const options = { ...DEFAULT_DATABASE_OPTIONS, name: 'a1', port, primaryTerm: 1 };
  const database = await createStandInDatabase(options);
  onTestFinished(() => database.stop());
  return database;
}

async function askIncarnation(address: UpstreamAddress): Promise<string | undefined> {
  const control = createGroupControlConnection({ address, timeoutMilliseconds: 5_000 });
  onTestFinished(() => control.close());
  const response = await new Promise<ControlResponse>((resolve) => {
    control.ask({ type: 'askStatus' }, resolve);
  });
  return response.type === 'answered' ? response.status.incarnation : undefined;
}

test('a lease leads to the incarnation of the database that the status is from', async () => {
  // Guards against a read at a database that was emptied since its last status.
  const first = await startDatabase(0);
  const { host, user, password } = DEFAULT_DATABASE_OPTIONS;
  const address = { host, user, password, port: first.port };
  const pool = createUpstreamPool({
    member: 'a1',
    address,
    clock: () => 0,
    onLeaseClosed: () => {},
  });
  onTestFinished(() => pool.destroy());
  const acquire = (incarnation = ''): Promise<string> =>
    new Promise((resolve) => {
      pool.acquire({
        incarnation,
        onGranted: (lease) => {
          pool.release(lease);
          resolve('granted');
        },
        onRefused: resolve,
      });
    });
  const before = await askIncarnation(address);
  expect(await acquire(before)).toBe('granted');
  await first.stop();
  await waitUntil(() => pool.getConnectionCount().idle === 0);
  await startDatabase(first.port);
  expect(await acquire(before)).toBe('otherIncarnation');
  const after = await askIncarnation(address);
  expect(after).not.toBe(before);
  expect(await acquire(after)).toBe('granted');
  expect(pool.getConnectionCount()).toEqual({ opening: 0, running: 0, idle: 1 });
});

test('a member takes names and incarnations of any text in the statements of its group', async () => {
  // Guards against a text of a database that ends a literal, and becomes part of the statement.
  const { port } = await startDatabase(0);
  const { host, user, password } = DEFAULT_DATABASE_OPTIONS;
  const address = { host, user, password, port };
  const control = createGroupControlConnection({ address, timeoutMilliseconds: 5_000 });
  onTestFinished(() => control.close());
  const ask = (question: ControlQuestion): Promise<ControlResponse> =>
    new Promise((resolve) => {
      control.ask(question, resolve);
    });
  const text = String.raw`a'b''c\'d"e\" TERM 9`;
  const incarnations = { a1: text, [text]: '\\' };
  const after = { term: 0, index: 0 };
  const named = await ask({ type: 'nameVoters', term: 1, after, incarnations });
  expect(named).toMatchObject({ status: { voters: { incarnations } } });
  const followed = await ask({ type: 'follow', term: 2, primary: text, primaryAddress: text });
  expect(followed).toMatchObject({ status: { following: text } });
});
