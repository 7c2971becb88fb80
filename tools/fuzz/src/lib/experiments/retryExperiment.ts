import { createRetryBudget } from '@wisterialift/core';
import { createRandom } from '../simulation/random';
import { createScheduler } from '../simulation/scheduler';

/** @public */
export interface RetryFigures {
  /** Attempts sent for each first try since the database froze. */
  attemptsForEachTry: number;
  /** Share answered in time from ten seconds after the database was whole again. */
  goodShareLater: number;
}

interface Attempt {
  finish: () => void;
}

const SLOTS = 5;
const SERVICE_MILLISECONDS = 10;
/** 80% of the capacity. */
const LOAD_A_SECOND = 400;
const TIMEOUT_MILLISECONDS = 250;
const MAXIMUM_ATTEMPTS = 4;
const FROZEN_FROM = 5_000;
const FROZEN_UNTIL = 6_000;
const LATER_FROM = 16_000;
const END = 30_000;

/**
 * Freezes a database for one second at 80% load. Every attempt without an answer in time is
 * retried, and the database goes on working on what was given up.
 *
 * @public
 */
export function runRetries(way: 'unlimited' | 'budget', seed: number): RetryFigures {
  const random = createRandom(seed);
  const scheduler = createScheduler();
  const budget = createRetryBudget({ retryRatio: 0.1, minimumTokens: 10 });
  const queue: Attempt[] = [];
  const counts = { tries: 0, attempts: 0, triesLater: 0, goodLater: 0 };
  let running = 0;

  const finish = (attempt: Attempt) => {
    running -= 1;
    attempt.finish();
    serve();
  };

  function serve() {
    while (running < SLOTS && !isFrozen(scheduler.now())) {
      const attempt = queue.shift();
      if (!attempt) return;
      running += 1;
      scheduler.after(random.exponential(SERVICE_MILLISECONDS), () => finish(attempt));
    }
  }

  const send = (startedAt: number, number: number) => {
    let isAnswered = false;
    const finishAttempt = () => {
      isAnswered = true;
    };
    if (startedAt >= FROZEN_FROM) counts.attempts += 1;
    queue.push({ finish: finishAttempt });
    serve();
    scheduler.after(TIMEOUT_MILLISECONDS, () => {
      if (isAnswered) {
        if (startedAt >= LATER_FROM) counts.goodLater += 1;
        return;
      }
      if (number >= MAXIMUM_ATTEMPTS) return;
      if (way === 'budget' && !budget.trySpendRetry(scheduler.now())) return;
      send(startedAt, number + 1);
    });
  };

  const arrive = () => {
    scheduler.after(random.exponential(1_000 / LOAD_A_SECOND), () => {
      const startedAt = scheduler.now();
      budget.recordFirstAttempt(startedAt);
      if (startedAt >= FROZEN_FROM) counts.tries += 1;
      if (startedAt >= LATER_FROM) counts.triesLater += 1;
      send(startedAt, 1);
      arrive();
    });
  };

  scheduler.at(FROZEN_UNTIL, serve);
  arrive();
  scheduler.runUntil(END);
  return {
    attemptsForEachTry: round(counts.attempts / counts.tries),
    goodShareLater: round(counts.goodLater / counts.triesLater),
  };
}

function isFrozen(time: number): boolean {
  return time >= FROZEN_FROM && time < FROZEN_UNTIL;
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
