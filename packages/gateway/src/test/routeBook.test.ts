import { describe, expect, it } from 'vitest';
import { createRouteBook } from '../lib/configuration/routeBook';
import type { GatewayConfiguration, Route } from '../lib/configuration/gatewayConfiguration';

const route = (group: string): Route => ({
  database: 'history',
  group,
  consistency: 'primary',
  maximumStaleness: 0,
  timeout: 1_000,
  goal: 500,
  priority: 1,
});

const configuration = (version: number, group?: string): GatewayConfiguration => ({
  version,
  routes: new Map(group === undefined ? [] : [['history', route(group)]]),
  groups: new Map(),
  transactionIdle: 3_000,
});

describe('the newest route of a database', () => {
  it('is not the own one where another instance knows a newer version', () => {
    // A caller found a database again whose route had been dropped.
    // Its statements went through two instances, one of which had not heard of the new version; the
    // other one had already answered by it.
    const book = createRouteBook();
    book.adopt(configuration(4, 'group-1'));
    const dropped = { database: 'history', version: 7, route: undefined };
    expect(book.learn(dropped)).toEqual(dropped);
    expect(book.find('history')).toEqual(dropped);
    const older = { database: 'history', version: 4, route: route('group-1') };
    expect(book.learn(older)).toEqual(dropped);
  });

  it('is the own one again from that version on', () => {
    const book = createRouteBook();
    book.adopt(configuration(4, 'group-1'));
    book.learn({ database: 'history', version: 7, route: undefined });
    expect(book.adopt(configuration(9, 'group-2'))).toBe(true);
    expect(book.find('history')).toMatchObject({ version: 9, route: { group: 'group-2' } });
  });

  it('never goes back to an older version', () => {
    const book = createRouteBook();
    book.adopt(configuration(9, 'group-2'));
    expect(book.adopt(configuration(4, 'group-1'))).toBe(false);
    expect(book.find('history')?.version).toBe(9);
  });
});
