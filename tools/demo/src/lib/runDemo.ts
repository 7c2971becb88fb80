import { startTrial } from '@wisterialift/bench';
import type { Trial } from '@wisterialift/bench';
import { DemoError } from './demoError';
import { DEMO_STEPS } from './demoSteps';
import type { DemoStage, DemoStep } from './demoSteps';

type Write = (text: string) => void;

/**
 * Runs every step once and stops the trial.
 *
 * @returns the exit code: 0 when every step showed what it is meant to.
 */
export async function runDemoOnce(write: Write): Promise<number> {
  const trial = await startTrial({ proxies: 2 });
  try {
    const stage = createStage(trial);
    for (const step of DEMO_STEPS) await runStep(step, stage, write);
    write('demo passed\n');
    return 0;
  } catch (error) {
    write(`demo failed: ${(error as Error).message}\n`);
    return 1;
  } finally {
    await trial.stop();
  }
}

/** Starts the trial, prints how to connect and stays until the signal. */
export async function runDemo(write: Write, untilStopped: Promise<void>): Promise<number> {
  const trial = await startTrial({ proxies: 2 });
  write(describeTrial(trial));
  await untilStopped;
  await trial.stop();
  return 0;
}

function createStage(trial: Trial): DemoStage {
  const [group] = trial.options.groups;
  const [first, second] = trial.proxies;
  if (!group || !first || !second) throw new DemoError('the trial is not complete');
  return { trial, group, first, second };
}

async function runStep(step: DemoStep, stage: DemoStage, write: Write): Promise<void> {
  const startedAt = performance.now();
  try {
    const seen = await step.run(stage);
    write(`${step.name}: ${seen} (${Math.round(performance.now() - startedAt)} ms)\n`);
  } catch (error) {
    throw new DemoError(`${step.name}: ${(error as Error).message}`);
  }
}

function describeTrial(trial: Trial): string {
  const { caller, groups } = trial.options;
  const lines = trial.proxies.map(
    ({ name, callersPort, administrationPort }) =>
      `${name}: callers 127.0.0.1:${callersPort}, administration 127.0.0.1:${administrationPort}`,
  );
  const [proxy] = trial.proxies;
  return [
    ...lines,
    `connect: user ${caller.name}, password ${caller.password}, database ${groups[0]}`,
    `operate: WISTERIALIFT_ADDRESS=127.0.0.1:${proxy?.administrationPort} ` +
      `WISTERIALIFT_TOKEN=${proxy?.administrationToken} node dist/wisterialift.cjs status`,
    ...trial.databases.map(
      ({ name, controlPort }) => `${name}: faults at http://127.0.0.1:${controlPort}/faults`,
    ),
    `platform: faults at ${trial.platform.controlAddress}/faults`,
    'press Ctrl-C to stop',
    '',
  ].join('\n');
}
