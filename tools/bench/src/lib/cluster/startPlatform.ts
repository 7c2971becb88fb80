import { CONFIGURATION_OBJECT } from '@wisterialift/schema';
import type { ConfigurationObject } from '@wisterialift/schema';
import { requestJson } from './requestJson';
import { startStandIn } from './startProgram';
import type { ProgramProcess } from './startProgram';

/** Faults that the platform can be given. @public */
export interface PlatformFaults {
  outage: boolean;
  delayMilliseconds: number;
  loseAnswers: number;
  instanceLagMilliseconds: number;
}

/** The platform of a trial. @public */
export interface TrialPlatform {
  address: string;
  controlAddress: string;
  program: ProgramProcess;
  changeFaults: (faults: Partial<PlatformFaults>) => Promise<void>;
  /** Calls so far, by operation. */
  readCalls: () => Promise<Record<string, number>>;
  putConfiguration: (value: ConfigurationObject) => Promise<void>;
}

/** Starts the platform process. */
export async function startPlatform(): Promise<TrialPlatform> {
  const { program, ready } = await startStandIn({
    program: 'stand-in-platform',
    programArguments: [],
  });
  const address = `http://127.0.0.1:${ready.port}`;
  const controlAddress = `http://127.0.0.1:${ready.controlPort}`;
  return {
    address,
    controlAddress,
    program,
    changeFaults: async (body) => {
      await requestJson(`${controlAddress}/faults`, { method: 'PUT', body });
    },
    readCalls: () => requestJson(`${controlAddress}/calls`),
    putConfiguration: async (value) => {
      const { kind, name } = CONFIGURATION_OBJECT;
      const body = { expectedVersion: 0, value };
      await requestJson(`${address}/objects/${kind}/${name}`, { method: 'PUT', body });
    },
  };
}
