// Is an acknowledged commit missing from the log of the database that is promoted?
import { runCase } from '../lib-2/runCase.mjs';

/** Commits that were acknowledged before a promotion took effect and that its log lacks. */
function findLost({ writes, group }) {
  return group.promotions.flatMap(({ id, term, at, log }) => {
    const held = new Set(log.map(({ statement }) => statement));
    const lost = writes.filter((write) => write.answeredAt < at && !held.has(write.id));
    return lost.map(
      (write) =>
        `${write.id} of ${write.place}, acknowledged at ${write.answeredAt.toFixed(3)} s, is not in ` +
        `the log of ${id}, which leads term ${term} since ${at.toFixed(3)} s`,
    );
  });
}

await runCase(import.meta.dirname, {
  members: [
    { id: 'i-a', place: 'mestre-dc' },
    { id: 'i-b', place: 'sesto-dc' },
    { id: 'i-c', place: 'modena-dc/i-c' },
  ],
  cuts: [{ atSeconds: 20, pairs: [['modena-dc/i-c', '*']] }],
  shutdown: { atSeconds: 24.3, id: 'i-a' },
  clients: 3,
  healSeconds: 25,
  endSeconds: 30,
  syncReplicas: 1,
  judge: findLost,
});
