import { createSession } from '@wisterialift/core';
import { expect, it } from 'vitest';
import { listVariables } from '../lib/statements/caller/sessionVariables';

const list = (pattern: string) =>
  listVariables(pattern, {
    connectionId: 1,
    caller: 'office',
    group: undefined,
    session: createSession(),
    lastInsertId: 0,
    maximumPacketBytes: 1,
  }).map(([name]) => name);

it('a pattern lists the variables that match it', () => {
  expect(list('%').length).toBeGreaterThan(20);
  expect(list('MAX%')).toEqual(['max_allowed_packet']);
  expect(list(String.raw`%\_isolation`)).toEqual(['transaction_isolation', 'tx_isolation']);
  expect(list('tx_isolatio_')).toEqual(['tx_isolation']);
  expect(list('%_write%t%e%out%')).toEqual(['net_write_timeout']);
});

it.each([
  ['a bracket', '['],
  ['an escaped bracket', String.raw`\(`],
  ['a backslash', '\\'],
  ['many places for each character', `${'%_'.repeat(30)}?`],
  ['nearly the largest packet', `${'%'.repeat(16_000_000)}?`],
])('a pattern of %s lists nothing', (_, pattern) => {
  // Guards against a pattern that throws or takes years, which ends the service of all callers.
  expect(list(pattern)).toEqual([]);
});
