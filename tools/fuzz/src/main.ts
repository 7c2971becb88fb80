import { parseArgs } from 'node:util';
import { runAdmissionExperiments } from './lib/experiments/admissionExperiments';
import { runConfigurationFuzz, runGroupFuzz, type FuzzSummary } from './lib/runFuzz';

const USAGE = `usage: npm run fuzz -- [--seed N] [--runs N] [--only group|configuration]
       npm run fuzz -- --experiments [--seed N]
`;

/** The command line asks for what there is not. */
class UsageError extends Error {
  override name = 'UsageError';
}

function readNumber(text: string): number {
  const number = Number(text);
  if (Number.isSafeInteger(number) && number >= 0) return number;
  throw new UsageError(`"${text}" is not a number from 0`);
}

function print(name: string, { failures, ...figures }: FuzzSummary): void {
  failures.forEach((failure) => process.stdout.write(`${failure}\n`));
  process.stdout.write(`${name}: ${JSON.stringify(figures)}\n`);
}

function main(): void {
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', default: '1' },
      runs: { type: 'string', default: '200' },
      only: { type: 'string' },
      experiments: { type: 'boolean', default: false },
    },
  });
  const seed = readNumber(values.seed);
  const runs = readNumber(values.runs);
  if (values.experiments) {
    process.stdout.write(`${JSON.stringify(runAdmissionExperiments(seed), null, 2)}\n`);
    return;
  }
  const summaries: FuzzSummary[] = [];
  if (values.only !== 'configuration') {
    const summary = runGroupFuzz({ seed, runs });
    print('group', summary);
    summaries.push(summary);
  }
  if (values.only !== 'group') {
    const summary = runConfigurationFuzz({ seed, runs });
    print('configuration', summary);
    summaries.push(summary);
  }
  if (summaries.some(({ violatingSeeds }) => violatingSeeds.length > 0)) process.exitCode = 1;
}

try {
  main();
} catch (error) {
  if (!(error instanceof UsageError)) throw error;
  process.stderr.write(`${error.message}\n${USAGE}`);
  process.exitCode = 2;
}
