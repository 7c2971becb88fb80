import { writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Command, InvalidArgumentError } from 'commander';
import { runSoak } from './lib/runSoak';
import type { SoakResult } from './lib/runSoak';

interface SoakArguments {
  seed: number;
  runs: number;
  seconds: number;
  instances: number;
  jobs: number;
  leaving: boolean;
}

/** Time for service to come back: a change of primary after a restart takes a few seconds. */
const RECOVERY_MILLISECONDS = 20_000;

function readNumber(text: string): number {
  const number = Number(text);
  if (Number.isSafeInteger(number) && number > 0) return number;
  throw new InvalidArgumentError('not a whole number above 0');
}

function report({ plan, violations, lines, ...figures }: SoakResult): void {
  const faults = plan.faults.map(({ name }) => name).join(' ');
  process.stdout.write(`seed ${plan.seed}: ${JSON.stringify(figures)} ${faults}\n`);
  if (violations.length === 0) return;
  for (const { promise, detail } of violations.slice(0, 10)) {
    process.stdout.write(`  BROKEN ${promise}: ${detail}\n`);
  }
  const path = join(tmpdir(), `soak-${plan.seed}.log`);
  writeFileSync(path, `${JSON.stringify(plan)}\n${lines.join('\n')}\n`);
  process.stdout.write(`  plan and logs: ${path}\n`);
}

async function main({
  seed,
  runs,
  seconds,
  instances,
  jobs,
  leaving,
}: SoakArguments): Promise<void> {
  const seeds = Array.from({ length: runs }, (_, index) => seed + index);
  const broken: number[] = [];
  async function work(): Promise<void> {
    for (let next = seeds.shift(); next !== undefined; next = seeds.shift()) {
      const options = { seed: next, length: seconds * 1_000, instances, isLeaving: leaving };
      const result = await runSoak({ ...options, recovery: RECOVERY_MILLISECONDS });
      report(result);
      if (result.violations.length > 0) broken.push(next);
    }
  }
  await Promise.all(Array.from({ length: jobs }, work));
  process.stdout.write(`${runs} runs, ${broken.length} broken: ${broken.join(' ')}\n`);
  if (broken.length > 0) process.exitCode = 1;
}

const program = new Command('soak')
  .description('runs instances as processes under random faults and checks their promises')
  .option('--seed <number>', 'first seed', readNumber, 1)
  .option('--runs <number>', 'seeds to run, one after the other', readNumber, 10)
  .option('--seconds <number>', 'length of the load of a run', readNumber, 12)
  .option('--instances <number>', 'instances of a run', readNumber, 3)
  .option('--leaving', 'has all databases leave for a time in each run', false)
  .option('--jobs <number>', 'runs at a time', readNumber, 1)
  .action(main);

void program.parseAsync();
