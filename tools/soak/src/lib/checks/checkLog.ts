import type { History, Violation } from '../load/history';
import type { World } from '../world/startWorld';

/** Holds what the callers were told against the log that the group ended with. */
export function checkLog({ group, databases }: World, { attempts }: History): Violation[] {
  const primary = [...group.members.values()]
    .filter(({ role }) => role === 'primary')
    .sort((left, right) => right.term - left.term)[0]!;
  const copies = new Map<string, number>();
  for (const { item, value } of primary.log) {
    const key = `${item} ${value}`;
    copies.set(key, (copies.get(key) ?? 0) + 1);
  }
  const violations: Violation[] = [];
  for (const { items, value, outcome } of attempts) {
    const kept = items.map((item) => copies.get(`${item} ${value}`) ?? 0);
    const detail = `${items.join()} ${value} ${outcome}, in the log ${kept.join()} times`;
    const report = (promise: string) => violations.push({ promise, detail });
    if (kept.some((count) => count > 1)) report('no write is doubled');
    if (new Set(kept).size > 1) report('a transaction is kept whole or not at all');
    if (outcome === 'acknowledged' && kept.includes(0)) report('no acknowledged write is lost');
    if (outcome === 'promised' && kept.some((count) => count > 0)) report('"not kept" is true');
  }
  return [...violations, ...checkTransactions(databases)];
}

/** Statements of one transaction of a database come from one session. */
function checkTransactions(databases: World['databases']): Violation[] {
  const sessions = new Map<string, Set<string>>();
  for (const { member, runs } of databases) {
    for (const { transaction, id } of runs()) {
      if (transaction === undefined) continue;
      const key = `${member.id} ${transaction}`;
      const session = id.slice(0, id.lastIndexOf('.'));
      sessions.set(key, (sessions.get(key) ?? new Set()).add(session));
    }
  }
  return [...sessions]
    .filter(([, found]) => found.size > 1)
    .map(([key, found]) => ({
      promise: 'statements of transactions never mix',
      detail: `${key}: ${[...found].join()}`,
    }));
}
