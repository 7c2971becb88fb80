import { describe, expect, it } from 'vitest';
import { chooseWaitingStatement, findUncoveredStatements } from '../index';

const waitFor = (owner: string | undefined, arrivedAt: number, priority = 1) => ({
  owner,
  arrivedAt,
  priority,
});

describe('a released connection', () => {
  it('goes to a waiting statement of its team, and to none of another', () => {
    // Guards against statements on a connection that was opened for another team.
    const waiting = [waitFor('south', 0), waitFor('north', 10), waitFor('north', 20)];
    expect(chooseWaitingStatement(waiting, { owner: 'north' })).toBe(waiting[1]);
    expect(chooseWaitingStatement(waiting, { owner: 'west' })).toBeUndefined();
  });

  it('goes to a control command whatever its team', () => {
    const control = { ...waitFor(undefined, 30, -1), acceptsAnyOwner: true };
    const waiting = [waitFor('south', 0), control];
    expect(chooseWaitingStatement(waiting, { owner: 'north' })).toBe(control);
  });

  it('is not kept by a busy team while another waits for long', () => {
    // Guards against a team at several times its rate that holds all connections.
    const waiting = [waitFor('south', 0), waitFor('north', 60)];
    expect(chooseWaitingStatement(waiting, { owner: 'north' })).toBeUndefined();
  });

  it('is not kept by a team whose statement has a lower priority', () => {
    const waiting = [waitFor('south', 10, 1), waitFor('north', 0, 2)];
    expect(chooseWaitingStatement(waiting, { owner: 'north' })).toBeUndefined();
  });
});

describe('connections to open', () => {
  it('are those for which none is being opened, the most urgent first', () => {
    const waiting = [waitFor('north', 0, 2), waitFor('south', 5, 1), waitFor('north', 1, 2)];
    expect(findUncoveredStatements(waiting, ['north'])).toEqual([waiting[1], waiting[2]]);
  });
});
