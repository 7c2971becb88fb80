import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { isListening } from './freePorts';
import { createSettingsText } from './settingsText';
import type { ProxyPlace } from './settingsText';
import { ProgramError, startProgram } from './startProgram';
import type { ProgramProcess } from './startProgram';
import type { TrialOptions } from './trialOptions';

/** A proxy of a trial. @public */
export interface TrialProxy extends ProxyPlace {
  settingsFile: string;
  /** The present process; another one after a restart. */
  program: () => ProgramProcess;
  /** Starts the process again with the same settings; end it before. */
  restart: () => Promise<void>;
}

const READY_TIMEOUT_MILLISECONDS = 30_000;
const POLL_MILLISECONDS = 50;

/** Starts a proxy process and waits until callers can connect. */
export async function startProxy(
  options: TrialOptions,
  place: ProxyPlace & { directory: string; preload: string[] },
): Promise<TrialProxy> {
  const { directory, preload, ...proxyPlace } = place;
  const settingsFile = join(directory, `${place.name}.toml`);
  writeFileSync(settingsFile, createSettingsText(place, options.settings));

  async function start(): Promise<ProgramProcess> {
    const program = startProgram({
      program: 'wisterialift',
      programArguments: ['proxy', '--settings', settingsFile],
      preload,
    });
    await waitUntilListening(program, place.callersPort);
    return program;
  }

  let program = await start();

  return {
    ...proxyPlace,
    settingsFile,
    program: () => program,
    restart: async () => {
      program = await start();
    },
  };
}

async function waitUntilListening(program: ProgramProcess, port: number): Promise<void> {
  const giveUpAt = performance.now() + READY_TIMEOUT_MILLISECONDS;
  while (!(await isListening(port))) {
    if (!program.isRunning() || performance.now() > giveUpAt) {
      await program.kill();
      throw new ProgramError(`the proxy did not get ready:\n${program.lastLines().join('\n')}`);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MILLISECONDS);
    });
  }
}
