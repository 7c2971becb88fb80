import { readFileSync, writeFileSync } from 'node:fs';
import { MECHANISMS } from '@wisterialift/gateway';
import type { Mechanism } from '@wisterialift/gateway';
import { Command, InvalidArgumentError } from 'commander';
import type { Experiment } from './lib/experiment/experimentSchema';
import { ExperimentFileError, readExperiment } from './lib/experiment/readExperiment';
import { runExperiment } from './lib/experiment/runExperiment';
import type { ExperimentResult } from './lib/experiment/runExperiment';
import { renderRun, renderSummaries } from './lib/report/renderText';
import { summarize } from './lib/report/summarize';
import type { ResultSummary } from './lib/report/summarize';

interface RunArguments {
  seed?: number;
  seeds?: number;
  without: Mechanism[];
  json?: boolean;
  save?: string;
  log?: string;
}

/** Results of one experiment as `run --save` writes them. */
interface SavedResults {
  experiment: string;
  without: Mechanism[];
  results: ExperimentResult[];
}

function readNumber(text: string): number {
  const number = Number(text);
  if (Number.isSafeInteger(number) && number > 0) return number;
  throw new InvalidArgumentError('not a whole number above 0');
}

function readMechanism(text: string, former: Mechanism[]): Mechanism[] {
  const known = MECHANISMS.find((name) => name === text);
  if (!known) throw new InvalidArgumentError(`not one of ${MECHANISMS.join(', ')}`);
  return [...former, known];
}

const print = (text: string) => process.stdout.write(`${text}\n`);
const showProgress = (text: string) => process.stderr.write(`${text}\n`);

async function playSeeds(
  experiment: Experiment,
  { seed, seeds, without, log }: Pick<RunArguments, 'seed' | 'seeds' | 'without' | 'log'>,
): Promise<ExperimentResult[]> {
  const played = seed === undefined ? experiment.seeds.slice(0, seeds) : [seed];
  const results: ExperimentResult[] = [];
  const lines: string[] = [];
  for (const next of played) {
    const startedAt = Date.now();
    const onLog = log ? (line: object) => lines.push(JSON.stringify(line)) : undefined;
    results.push(await runExperiment(experiment, { seed: next, without, onLog }));
    showProgress(`${experiment.name}: seed ${next} played in ${Date.now() - startedAt} ms`);
  }
  if (log) writeFileSync(log, `${lines.join('\n')}\n`);
  return results;
}

async function run(path: string, options: RunArguments): Promise<void> {
  const experiment = readExperiment(path);
  const results = await playSeeds(experiment, options);
  const { without, json, save } = options;
  const saved: SavedResults = { experiment: experiment.name, without, results };
  if (save) writeFileSync(save, JSON.stringify(saved));
  if (json) {
    print(JSON.stringify({ ...saved, summary: summarize(results) }));
    return;
  }
  if (results.length === 1) print(renderRun(results[0]!));
  print(renderSummaries(new Map([[saved.experiment, summarize(results)]])));
}

function compare(paths: string[]): void {
  const summaries = new Map<string, ResultSummary>();
  for (const path of paths) {
    const { results } = JSON.parse(readFileSync(path, 'utf8')) as SavedResults;
    summaries.set(path, summarize(results));
  }
  print(renderSummaries(summaries));
}

async function ablate(paths: string[], { seeds }: { seeds?: number }): Promise<void> {
  for (const path of paths) {
    const experiment = readExperiment(path);
    const summaries = new Map<string, ResultSummary>();
    summaries.set('all', summarize(await playSeeds(experiment, { seeds, without: [] })));
    for (const mechanism of MECHANISMS) {
      const results = await playSeeds(experiment, { seeds, without: [mechanism] });
      summaries.set(`without ${mechanism}`, summarize(results));
    }
    print(`${path}\n${renderSummaries(summaries)}\n`);
  }
}

/** Runs a verb; a file that cannot be played ends it with exit code 2. */
function reportingFileErrors<Arguments extends unknown[]>(
  verb: (...verbArguments: Arguments) => Promise<void> | void,
): (...verbArguments: Arguments) => Promise<void> {
  return async (...verbArguments) => {
    try {
      await verb(...verbArguments);
    } catch (error) {
      if (!(error instanceof ExperimentFileError)) throw error;
      showProgress(error.message);
      process.exitCode = 2;
    }
  };
}

const program = new Command('experiment').description(
  'plays the real gateway in a simulated world and shows what callers get',
);
program
  .command('run <file>')
  .description('plays one experiment with its seeds')
  .option('--seed <number>', 'this seed alone', readNumber)
  .option('--seeds <number>', 'as many of its seeds', readNumber)
  .option('--without <mechanism>', 'leaves a mechanism out; may be repeated', readMechanism, [])
  .option('--json', 'ends with one JSON object')
  .option('--save <path>', 'writes the results to a file for `compare`')
  .option('--log <path>', 'writes the log lines of the instances to a file')
  .action(reportingFileErrors(run));
program
  .command('compare <file...>')
  .description('shows results that `run --save` wrote side by side')
  .action(compare);
program
  .command('mechanisms')
  .description('lists what can be left out')
  .option('--json', 'as a JSON list')
  .action(({ json }: { json?: boolean }) => {
    print(json ? JSON.stringify(MECHANISMS) : MECHANISMS.join('\n'));
  });
program
  .command('ablate <file...>')
  .description('plays each experiment with all mechanisms and without each of them')
  .option('--seeds <number>', 'as many of its seeds', readNumber)
  .action(reportingFileErrors(ablate));

void program.parseAsync();
