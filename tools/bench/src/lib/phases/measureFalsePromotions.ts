import { startTrial } from '../cluster/startTrial';
import type { Trial } from '../cluster/startTrial';
import type { TrialOptions } from '../cluster/trialOptions';
import { createReconnecting } from '../load/createReconnecting';
import { pause, repeatFor } from '../load/timings';

/** What came of a time without any fault of a primary, over links that lose. */
export interface FalsePromotionResult {
  /** Changes of primary; each one is false. */
  promotions: number;
  loss: number;
  seconds: number;
  writes: number;
}

const LOSS = 0.05;
const WRITE = "INSERT INTO records (id, session, note) VALUES ('loss', 'loss', 'test')";
const THINK_MILLISECONDS = 20;

/** Runs writers over links that lose a share of what they carry, and counts the changes of primary. */
export async function measureFalsePromotions(
  options: TrialOptions,
  milliseconds: number,
): Promise<FalsePromotionResult> {
  const { links } = options;
  if (!links) throw new Error('a trial without links loses nothing');
  const trial = await startTrial({ ...options, links: { ...links, loss: LOSS } });
  try {
    await pause(1_000);
    const before = await sumTerms(trial);
    const started = performance.now();
    const writes = await writeEverywhere(trial, milliseconds);
    const seconds = (performance.now() - started) / 1_000;
    return { promotions: (await sumTerms(trial)) - before, loss: LOSS, seconds, writes };
  } finally {
    await trial.stop();
  }
}

/** Primaries begin terms, so the number of terms tells how many there were. */
async function sumTerms(trial: Trial): Promise<number> {
  const counts = await Promise.all(
    trial.options.groups.map(async (group) => {
      const primary = await trial.findPrimary(group);
      return (await primary?.health())?.status.termStarts.length ?? 0;
    }),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}

async function writeEverywhere(trial: Trial, milliseconds: number): Promise<number> {
  let writes = 0;
  const pairs = trial.proxies.flatMap((proxy) =>
    trial.options.groups.map((group) => ({ proxy, group })),
  );
  await Promise.all(
    pairs.map(async ({ proxy, group }) => {
      const connection = createReconnecting(() => trial.connectToProxy(proxy, group));
      await repeatFor(milliseconds, async () => {
        await connection
          .use((open) => open.query(WRITE))
          .then(
            () => {
              writes += 1;
            },
            () => undefined,
          );
        await pause(THINK_MILLISECONDS);
      });
      connection.close();
    }),
  );
  return writes;
}
