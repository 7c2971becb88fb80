import { createSortedSet } from './sortedSet';
import { compareArrival, createTeamStatements } from './teamStatements';
import type { Entry, FairOrderStatement, FairOrderTime, TeamStatements } from './teamStatements';

/** Returns the weight of a team, above 0; undefined stands for callers without a team. @public */
export type FindWeight = (team: string | undefined) => number;

/** Waiting statements of one priority, ordered fairly between teams. */
export interface PriorityBand<Statement extends FairOrderStatement> {
  priority: number;
  add: (entry: Entry<Statement>) => void;
  remove: (entry: Entry<Statement>) => void;
  /** The statement that goes next; undefined if none waits. */
  getFirst: (time: FairOrderTime) => Entry<Statement> | undefined;
  /** Removes the statement that goes next, as `getFirst` returned it, and charges its team. */
  takeFirst: (first: Entry<Statement>) => void;
  /** Number of the statements that precede one, which may be absent. */
  countBefore: (entry: Entry<Statement>, time: FairOrderTime) => number;
  /** The last statement of the team with the most waiting statements relative to its weight. */
  getLastOfBusiestTeam: (time: FairOrderTime) => Entry<Statement> | undefined;
  /** Waiting statements of a team divided by its weight, with `additional` ones. */
  calculateLoad: (team: string | undefined, additional: number) => number;
  /** Whether the oldest statement has waited for more than its part of its goal. */
  isOverdue: (now: number) => boolean;
  size: () => number;
  /** Number of teams with a record, which include those that were served ahead of their share. */
  countTeams: () => number;
}

/** Fraction of the goal after which the oldest statement of a band is overdue. */
const OVERDUE_GOAL_FRACTION = 0.25;

/** Waiting statements of one team and its place in the virtual time of its band. */
interface Flow<Statement extends FairOrderStatement> {
  team: string | undefined;
  /** Orders flows with equal tags by the time at which they started to wait. */
  sequence: number;
  weight: number;
  /** Virtual time of slot 0. */
  start: number;
  /** Slots used so far since `start`. */
  served: number;
  statements: TeamStatements<Statement>;
  /** Waiting statements divided by the weight. */
  load: number;
}

/**
 * One place of a flow in the order of its band. A flow has one for each waiting statement; which of them
 * uses it is decided when its turn comes.
 */
interface Slot<Statement extends FairOrderStatement> {
  tag: number;
  flow: Flow<Statement>;
}

/**
 * Creates an empty band with weighted start-time fair queueing between teams, where each statement costs
 * one divided by the weight of its team.
 *
 * A team that starts to wait takes its first slot at the current virtual time, so it earns no credit
 * while it is idle, and waits for at most one statement of each other team. A team whose last waiting
 * statement has run keeps its record until the virtual time has reached its next slot; otherwise, one
 * with a single statement at a time would always go first.
 */
export function createPriorityBand<Statement extends FairOrderStatement>(
  priority: number,
  findWeight: FindWeight,
): PriorityBand<Statement> {
  const flows = new Map<string | undefined, Flow<Statement>>();
  const slots = createSortedSet<Slot<Statement>>(compareSlots);
  const flowsByLoad = createSortedSet<Flow<Statement>>(compareLoads);
  /** Flows without waiting statements by their next slot. */
  const idleFlows = createSortedSet<Slot<Statement>>(compareSlots);
  const arrivals = createSortedSet<Entry<Statement>>(compareArrival);
  let virtualTime = 0;
  let nextSequence = 0;

  function createFlow(team: string | undefined): Flow<Statement> {
    const statements = createTeamStatements<Statement>();
    const weight = findWeight(team);
    const sequence = nextSequence;
    return { team, sequence, weight, start: virtualTime, served: 0, statements, load: 0 };
  }

  /** Opens the flow of a team for a new statement, at its current weight. */
  function openFlow(team: string | undefined): Flow<Statement> {
    const known = flows.get(team);
    if (known) {
      if (known.statements.size() === 0) idleFlows.remove(getNextSlot(known));
      applyWeight(known, findWeight(team));
      return known;
    }
    const flow = createFlow(team);
    nextSequence += 1;
    flows.set(team, flow);
    return flow;
  }

  /** Moves the slots of a flow when the configuration has changed its weight. */
  function applyWeight(flow: Flow<Statement>, weight: number): void {
    if (flow.weight === weight) return;
    const count = flow.statements.size();
    for (let index = 0; index < count; index += 1) slots.remove(getSlot(flow, index));
    if (count > 0) flowsByLoad.remove(flow);
    const start = getSlot(flow, 0).tag;
    Object.assign(flow, { start, served: 0, weight, load: count / weight });
    if (count > 0) flowsByLoad.add(flow);
    for (let index = 0; index < count; index += 1) slots.add(getSlot(flow, index));
  }

  function updateLoad(flow: Flow<Statement>): void {
    if (flow.load > 0) flowsByLoad.remove(flow);
    Object.assign(flow, { load: flow.statements.size() / flow.weight });
    if (flow.load > 0) flowsByLoad.add(flow);
  }

  /** Keeps the record of a team without waiting statements only while it was served ahead. */
  function closeIfIdle(flow: Flow<Statement>): void {
    if (flow.statements.size() > 0) return;
    const next = getNextSlot(flow);
    if (next.tag > virtualTime) idleFlows.add(next);
    else flows.delete(flow.team);
  }

  function dropPassedFlows(): void {
    for (;;) {
      const next = idleFlows.at(0);
      if (!next || next.tag > virtualTime) return;
      idleFlows.remove(next);
      flows.delete(next.flow.team);
    }
  }

  function add(entry: Entry<Statement>): void {
    const flow = openFlow(entry.statement.team);
    slots.add(getNextSlot(flow));
    flow.statements.add(entry);
    arrivals.add(entry);
    updateLoad(flow);
  }

  function forget(flow: Flow<Statement>, entry: Entry<Statement>): void {
    flow.statements.remove(entry);
    arrivals.remove(entry);
    updateLoad(flow);
    closeIfIdle(flow);
  }

  /** Frees the team's last slot, so that a statement that has not run costs the team nothing. */
  function remove(entry: Entry<Statement>): void {
    const flow = flows.get(entry.statement.team)!;
    slots.remove(getSlot(flow, flow.statements.size() - 1));
    forget(flow, entry);
  }

  const getFirst = (time: FairOrderTime) => slots.at(0)?.flow.statements.getFirst(time);

  function takeFirst(first: Entry<Statement>): void {
    const slot = slots.at(0)!;
    slots.remove(slot);
    slot.flow.served += 1;
    virtualTime = slot.tag;
    forget(slot.flow, first);
    dropPassedFlows();
  }

  function countBefore(entry: Entry<Statement>, time: FairOrderTime): number {
    const { team } = entry.statement;
    const flow = flows.get(team) ?? createFlow(team);
    const own = getSlot(flow, flow.statements.countBefore(entry, time));
    return slots.countWhile((slot) => compareSlots(slot, own) < 0);
  }

  function calculateLoad(team: string | undefined, additional: number): number {
    const flow = flows.get(team);
    return ((flow?.statements.size() ?? 0) + additional) / (flow?.weight ?? findWeight(team));
  }

  function isOverdue(now: number): boolean {
    const oldest = arrivals.at(0)?.statement;
    return oldest !== undefined && now - oldest.arrivedAt > oldest.goal * OVERDUE_GOAL_FRACTION;
  }

  return {
    priority,
    add,
    remove,
    getFirst,
    takeFirst,
    countBefore,
    getLastOfBusiestTeam: (time) =>
      flowsByLoad.at(flowsByLoad.size() - 1)?.statements.getLast(time),
    calculateLoad,
    isOverdue,
    size: arrivals.size,
    countTeams: () => flows.size,
  };
}

/** Slot of the waiting statement with `index` others of its team before it. */
function getSlot<Statement extends FairOrderStatement>(
  flow: Flow<Statement>,
  index: number,
): Slot<Statement> {
  return { tag: flow.start + (flow.served + index) / flow.weight, flow };
}

function getNextSlot<Statement extends FairOrderStatement>(flow: Flow<Statement>): Slot<Statement> {
  return getSlot(flow, flow.statements.size());
}

function compareSlots<Statement extends FairOrderStatement>(
  left: Slot<Statement>,
  right: Slot<Statement>,
): number {
  return left.tag - right.tag || left.flow.sequence - right.flow.sequence;
}

function compareLoads<Statement extends FairOrderStatement>(
  left: Flow<Statement>,
  right: Flow<Statement>,
): number {
  return left.load - right.load || left.sequence - right.sequence;
}
