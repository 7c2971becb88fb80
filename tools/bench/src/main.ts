import { measureChoices, renderChoices } from './lib/choices/measureChoices';
import { openLinks } from './lib/cluster/links';
import type { RelayArguments } from './lib/cluster/startLinks';
import { BADAN_OPTIONS, CONSORZIO_OPTIONS } from './lib/cluster/trialOptions';
import { summariseBench } from './lib/report/benchResult';
import { renderBench } from './lib/report/renderBench';
import { FULL_PLAN, QUICK_PLAN, runBench } from './lib/runBench';
import type { BenchOptions } from './lib/runBench';
import { measureSlopes } from './lib/slopes/measureSlopes';
import { renderSlopes } from './lib/slopes/renderSlopes';

/** Runs the relays of a trial's links until SIGTERM. */
async function runRelay(text: string): Promise<void> {
  const { routes, links } = JSON.parse(text) as RelayArguments;
  await openLinks(routes, links, Math.random);
  process.stdout.write(`${JSON.stringify({ event: 'ready', port: 0, controlPort: 0 })}\n`);
}

const USERS: Omit<BenchOptions, 'plan' | 'onPhase'>[] = [
  { title: 'Consorzio Luce Sicura Padana', trial: CONSORZIO_OPTIONS },
  { title: 'Badan Sertifikasi Mutu Hasil Perikanan Jawa', trial: BADAN_OPTIONS },
];

/** The quick run: the sizes of the first user, fewer proxies, no delays between data centres. */
const QUICK_TRIAL = { ...CONSORZIO_OPTIONS, proxies: 3, links: undefined };

async function runQuick(isJson: boolean): Promise<void> {
  const result = await runBench({
    title: 'Consorzio, 3 proxies, no delays',
    trial: QUICK_TRIAL,
    plan: QUICK_PLAN,
    onPhase: tellPhase,
  });
  const text = isJson ? `${JSON.stringify(summariseBench(result))}\n` : renderBench(result);
  process.stdout.write(text);
  if (isJson) process.stderr.write(renderBench(result));
}

async function runFull(isJson: boolean): Promise<void> {
  const summaries: Record<string, unknown> = {};
  for (const user of USERS) {
    const result = await runBench({ ...user, plan: FULL_PLAN, onPhase: tellPhase });
    summaries[user.title] = summariseBench(result);
    if (!isJson) process.stdout.write(`${renderBench(result)}\n`);
  }
  if (isJson) process.stdout.write(`${JSON.stringify(summaries)}\n`);
}

async function runSlopes(isJson: boolean): Promise<void> {
  const series = await measureSlopes(tellPhase);
  process.stdout.write(isJson ? `${JSON.stringify(series)}\n` : renderSlopes(series));
}

function runChoices(isJson: boolean): void {
  const costs = measureChoices();
  process.stdout.write(isJson ? `${JSON.stringify(costs)}\n` : renderChoices(costs));
}

function tellPhase(phase: string): void {
  process.stderr.write(`${(performance.now() / 1_000).toFixed(1)} s: ${phase}\n`);
}

const USAGE = `bench [--quick] [--json] [--slopes] [--choices]
  --quick   one size, less than 50 s
  --json    one JSON object on standard output
  --slopes  cost of a proxy's control work against instances, groups, sessions and connections
  --choices cost of the fair order against waiting statements and teams, in microseconds
`;

async function main(): Promise<void> {
  const programArguments = process.argv.slice(2);
  if (programArguments[0] === 'relay') {
    await runRelay(programArguments[1] ?? '');
    return;
  }
  ['SIGTERM', 'SIGINT'].forEach((signal) => process.once(signal, () => process.exit(1)));
  const flags = new Set(programArguments);
  if (flags.has('--help')) process.stdout.write(USAGE);
  else if (flags.has('--slopes')) await runSlopes(flags.has('--json'));
  else if (flags.has('--choices')) runChoices(flags.has('--json'));
  else if (flags.has('--quick')) await runQuick(flags.has('--json'));
  else await runFull(flags.has('--json'));
}

main().catch((error: unknown) => {
  process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
  process.exitCode = 1;
});
