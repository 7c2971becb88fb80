// Clients that write one item each and read those of all others, and what they were told.
import { setTimeout } from 'node:timers';
import { openSession } from './client.mjs';

const PAUSE_MILLISECONDS = 100;

export const pause = (milliseconds) =>
  new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });

/**
 * Creates the traffic of one database name.
 *
 * @param options.seconds - time since the start of the run.
 * @param options.endSeconds - time at which the clients stop.
 */
export function createTraffic({ database, places, record, seconds, endSeconds }) {
  /** Acknowledged writes and answered reads. */
  const writes = [];
  const reads = [];
  const itemOf = (place, number = 1) => `item-${place}-${number}`;

  /** Sends a statement; opens a new session after one that ended. */
  async function send(client, text) {
    const { instance, place } = client;
    const session = client.session ?? (await openSession({ ...instance, database }));
    Object.assign(client, { session });
    const sentAt = seconds();
    record(`client in ${place} sends ${text} to ${instance.name}`);
    const answer = await session.query(text);
    const { id, rows, end, state } = answer;
    record(`client in ${place} has ${id} ${text}: ${rows.join(' ')} ${end || state}`);
    if (state !== 'I') {
      session.close();
      Object.assign(client, { session: undefined });
    }
    return { ...answer, sentAt, answeredAt: seconds(), isDone: end.startsWith('COMPLETE') };
  }

  async function writeAndRead(client, number) {
    const { item, place } = client;
    const written = await send(client, `WRITE ${item} ${number}`);
    if (written.isDone) writes.push({ ...written, place, item, number });
    for (const other of places) {
      const read = await send(client, `READ ${itemOf(other)}`);
      if (read.isDone) reads.push({ ...read, place, item: itemOf(other) });
    }
  }

  /** @param clientNumber - tells apart the clients of one instance. */
  async function runClient(instance, clientNumber) {
    const { place } = instance;
    const client = { instance, place, item: itemOf(place, clientNumber), session: undefined };
    for (let number = 1; seconds() < endSeconds; number += 1) {
      try {
        await writeAndRead(client, number);
      } catch (error) {
        record(`client in ${place}: ${error.message}`);
        Object.assign(client, { session: undefined });
      }
      await pause(PAUSE_MILLISECONDS);
    }
    client.session?.close();
  }

  return { writes, reads, runClient };
}
