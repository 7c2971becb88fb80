import { createHeap, createQueueDelayLimit } from '../index';
import type { QueueDelayLimit } from '../index';

/** An instance that keeps a number of statements running or waiting at one database. */
export interface FakeHolder {
  limit: QueueDelayLimit;
  /** Milliseconds to the database and back. */
  roundTrip: number;
  /** Statements that its callers keep open; waits for a new one take no time. */
  demand: number;
  running: number;
  completed: number;
}

interface Statement {
  holder: FakeHolder;
  sentAt: number;
  arrivedAt: number;
}

/** What a database did in a stretch of time. */
export interface Observation {
  /** Part of the slots' time in use. */
  utilization: number;
  /** Mean wait in the database's queue, in milliseconds. */
  meanDelay: number;
  /** Statements completed for each holder. */
  completed: number[];
  limits: number[];
}

/**
 * Creates a database with a first-come queue and holders that load it, in simulated time.
 *
 * @param options.drawServiceTime - milliseconds of a statement, from uniform random numbers.
 */
export function createLoadedDatabase(options: {
  slots: number;
  queueLength?: number;
  roundTrips: number[];
  ceiling?: number;
  targetDelayMilliseconds?: number;
  drawServiceTime: (random: () => number) => number;
  seed?: number;
}) {
  const { slots, queueLength = 32, roundTrips, ceiling = Math.ceil(slots * 1.5) } = options;
  const floor = slots / roundTrips.length;
  const targetDelayMilliseconds = options.targetDelayMilliseconds ?? 10;
  const random = createRandom(options.seed ?? 1);
  const events = createHeap<{ at: number; number: number; run: () => void }>(
    (left, right) => left.at - right.at || left.number - right.number,
  );
  const queue: Statement[] = [];
  const totals = { busyTime: 0, waits: 0, started: 0 };
  let now = 0;
  let eventCount = 0;
  let inSlots = 0;
  let slowness = 1;
  const holders: FakeHolder[] = roundTrips.map((roundTrip) => ({
    limit: createQueueDelayLimit({ floor, ceiling, targetDelayMilliseconds }),
    roundTrip,
    demand: 40,
    running: 0,
    completed: 0,
  }));

  function after(milliseconds: number, run: () => void): void {
    eventCount += 1;
    events.push({ at: now + milliseconds, number: eventCount, run });
  }

  function send(holder: FakeHolder): void {
    const count = Math.min(holder.limit.getLimit(), holder.demand) - holder.running;
    for (let index = 0; index < count; index += 1) sendOne(holder, now);
  }

  function sendOne(holder: FakeHolder, sentAt: number): void {
    Object.assign(holder, { running: holder.running + 1 });
    after(holder.roundTrip / 2, () => arrive({ holder, sentAt, arrivedAt: now }));
  }

  function arrive(statement: Statement): void {
    if (inSlots === slots && queue.length >= queueLength) {
      reply(statement, () =>
        statement.holder.limit.recordBusy({ sentAt: statement.sentAt, refusedAt: now }),
      );
      return;
    }
    queue.push(statement);
    serve();
  }

  function serve(): void {
    while (inSlots < slots && queue.length > 0) begin(queue.shift()!);
  }

  function begin(statement: Statement): void {
    const milliseconds = slowness * options.drawServiceTime(random);
    totals.waits += now - statement.arrivedAt;
    totals.started += 1;
    totals.busyTime += milliseconds;
    inSlots += 1;
    after(milliseconds, () => {
      inSlots -= 1;
      reply(statement, () => complete(statement));
      serve();
    });
  }

  function complete({ holder, sentAt }: Statement): void {
    const isLimited = holder.demand > holder.limit.getLimit();
    holder.limit.recordCompletion({ sentAt, completedAt: now, isLimited });
    Object.assign(holder, { completed: holder.completed + 1 });
  }

  function reply({ holder }: Statement, record: () => void): void {
    after(holder.roundTrip / 2, () => {
      record();
      Object.assign(holder, { running: holder.running - 1 });
      send(holder);
    });
  }

  return {
    holders,
    setSlowness: (factor: number) => {
      slowness = factor;
    },
    /** Lets time pass and returns what happened in it. */
    run: (milliseconds: number): Observation => {
      const endsAt = now + milliseconds;
      Object.assign(totals, { busyTime: 0, waits: 0, started: 0 });
      for (const holder of holders) {
        holder.completed = 0;
        send(holder);
      }
      while (events.size() > 0 && events.peek()!.at <= endsAt) {
        const event = events.pop()!;
        now = event.at;
        event.run();
      }
      now = endsAt;
      return {
        utilization: totals.busyTime / (slots * milliseconds),
        meanDelay: totals.waits / totals.started,
        completed: holders.map(({ completed }) => completed),
        limits: holders.map(({ limit }) => limit.getLimit()),
      };
    },
  };
}

/** Uniform numbers in [0, 1) of a linear congruential generator. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

/** Draws a service time with a log-normal spread: the 95 % quantile is 10 times the 5 % one. */
export function drawLogNormal(median: number, random: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return median * Math.exp(0.7 * normal);
}
