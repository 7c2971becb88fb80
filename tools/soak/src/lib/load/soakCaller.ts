import { setTimeout as pause } from 'node:timers/promises';
import { createDrawnTexts } from '@wisterialift/fuzz';
import type { Random } from '@wisterialift/fuzz';
import { DATABASES, STALENESS, connectLineCaller } from '@wisterialift/stand-in-line-platform';
import type { LineAnswer, LineCaller } from '@wisterialift/stand-in-line-platform';
import type { World } from '../world/startWorld';
import { numberOf } from './history';
import type { History, WriteOutcome } from './history';
import { drawPreparation } from './preparation';
import { teamOfCaller } from './soakTeams';

export interface SoakCallerOptions {
  world: World;
  history: History;
  random: Random;
  /** Draws texts; apart from the source of all else, so that a seed has the same operations. */
  textRandom: Random;
  name: string;
  database: (typeof DATABASES)[keyof typeof DATABASES];
  /** Items of all callers, for reads. */
  items: string[];
  isOver: () => boolean;
}

/** Pauses of a caller between its operations. */
const PAUSE_MILLISECONDS = { shortest: 2, longest: 40 };

/** Pause after a refusal, as its text asks for. */
const COME_BACK_MILLISECONDS = 300;

/** Items that one caller writes by turns; few, so that writes and reads meet. */
const OWN_ITEMS = 3;

/** Share of reads and writes that run a prepared statement. */
const EXECUTED_SHARE = 0.5;

/** Answers after which nothing of the attempt may be kept. */
const PROMISES = /^ERROR (BUSY|ABORTED|LAGGING|READONLY|WRONGNODE|TOOMANY)\b/;

const now = () => performance.now();

/** Runs operations until the run is over, over one session after the other. */
export async function runSoakCaller(options: SoakCallerOptions): Promise<void> {
  const { world, history, random, textRandom, name, database, items, isOver } = options;
  const texts = createDrawnTexts(textRandom);
  let preparation = drawPreparation(texts);
  let number = 0;
  let generation = 0;
  let session = '';

  let suffix = texts.word();

  const ownItem = (index: number) => `${name}-${generation}-${index}${suffix}`;
  for (let index = 0; index < OWN_ITEMS; index += 1) items.push(ownItem(index));

  async function connect(): Promise<LineCaller | undefined> {
    const { callers } = random.pick(world.instances);
    session = `${name}.${random.between(0, 1e9)}.`;
    try {
      const [key] = teamOfCaller(name).keys;
      const { port } = callers;
      const { record } = world;
      const caller = await connectLineCaller({ port, database, prefix: session, key, record });
      await prepare(caller);
      return caller;
    } catch {
      // Refused or cut, as callers are while an instance is away; another one may serve them.
      await pause(COME_BACK_MILLISECONDS);
      return undefined;
    }
  }

  /** Sets variables and prepares statements; each session has others. */
  async function prepare(caller: LineCaller): Promise<void> {
    preparation = drawPreparation(texts);
    for (const text of preparation.statements) await ask(caller, text);
  }

  const writeText = (item: string, value: string) =>
    textRandom.chance(EXECUTED_SHARE)
      ? `EXECUTE ${preparation.writeName} ${item} ${value}`
      : `WRITE ${item} ${value}`;

  const readText = (item: string) =>
    textRandom.chance(EXECUTED_SHARE) ? `EXECUTE ${preparation.readName} ${item}` : `READ ${item}`;

  async function write(caller: LineCaller): Promise<void> {
    number += 1;
    const isTransaction = random.chance(0.4);
    const first = random.between(0, OWN_ITEMS - 1);
    const chosen = isTransaction
      ? [ownItem(first), ownItem((first + 1) % OWN_ITEMS)]
      : [ownItem(first)];
    const value = `${name}:${number}:${texts.text()}`;
    const outcome = isTransaction
      ? await writeTogether(caller, chosen, value)
      : await writeOne(caller, chosen[0]!, value);
    history.attempts.push({ session, items: chosen, value, number, outcome, answeredAt: now() });
    // What is unknown may still take effect; the order of later writes of the items would be unknown.
    if (outcome === 'unknown') startNewItems();
  }

  function startNewItems(): void {
    generation += 1;
    suffix = texts.word();
    for (let index = 0; index < OWN_ITEMS; index += 1) items.push(ownItem(index));
  }

  async function writeOne(caller: LineCaller, item: string, value: string): Promise<WriteOutcome> {
    return toOutcome(await ask(caller, writeText(item, value)));
  }

  async function writeTogether(
    caller: LineCaller,
    chosen: string[],
    value: string,
  ): Promise<WriteOutcome> {
    const steps = ['BEGIN', ...chosen.map((item) => writeText(item, value))];
    for (const step of steps) {
      const answer = await ask(caller, step);
      if (!answer?.end.startsWith('COMPLETE')) {
        // Nothing was committed, and the caller has not asked for it.
        if (answer) await ask(caller, 'ROLLBACK');
        return 'promised';
      }
    }
    if (random.chance(0.1)) {
      await ask(caller, 'ROLLBACK');
      return 'promised';
    }
    return toOutcome(await ask(caller, 'COMMIT'));
  }

  /** @returns undefined where the session ended before the answer. */
  async function ask(caller: LineCaller, text: string): Promise<LineAnswer | undefined> {
    try {
      const answer = await caller.query(text);
      if (answer.end.startsWith('ERROR')) {
        history.recordRefusal(answer.end);
        await pause(COME_BACK_MILLISECONDS);
      }
      return answer;
    } catch {
      history.recordRefusal('');
      return undefined;
    }
  }

  function toOutcome(answer: LineAnswer | undefined): WriteOutcome {
    if (answer?.end.startsWith('COMPLETE')) return 'acknowledged';
    return answer && PROMISES.test(answer.end) ? 'promised' : 'unknown';
  }

  async function read(caller: LineCaller): Promise<void> {
    const item = random.pick(items);
    const startedAt = now();
    const before = startedAt - STALENESS[database];
    const any = history.highestAcknowledged({ item, before });
    const own =
      database === DATABASES.own
        ? history.highestAcknowledged({ item, before: startedAt, session })
        : 0;
    const answer = await ask(caller, readText(item));
    if (!answer?.end.startsWith('COMPLETE')) return;
    history.reads += 1;
    const seen = numberOf(answer.rows[0]);
    if (seen >= Math.max(any, own)) return;
    history.violations.push({
      promise: seen < own ? 'a session reads its own writes' : 'a read is as new as its kind says',
      detail: `${name} read ${item} in ${database}: ${seen} after ${Math.max(any, own)}`,
    });
  }

  while (!isOver()) {
    const caller = await connect();
    const operations = random.between(5, 60);
    for (let done = 0; done < operations && caller && !caller.isClosed() && !isOver(); done += 1) {
      const writes = database !== DATABASES.aged && random.chance(0.4);
      await (writes ? write(caller) : read(caller));
      await pause(random.between(PAUSE_MILLISECONDS.shortest, PAUSE_MILLISECONDS.longest));
    }
    caller?.leave();
  }
}
