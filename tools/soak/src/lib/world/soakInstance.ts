import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { startProgram } from '@wisterialift/bench';
import type { ProgramProcess } from '@wisterialift/bench';
import { openFaultLink } from './faultLink';
import type { FaultLink } from './faultLink';

/** One instance as a process of its own, and the links around it. */
export interface SoakInstance {
  name: string;
  callers: FaultLink;
  store: FaultLink;
  process: () => ProgramProcess;
  /** Starts it again after it has ended. */
  restart: () => void;
  reload: () => void;
  close: () => Promise<void>;
}

export interface SoakInstanceOptions {
  name: string;
  folder: string;
  ports: { callers: number; readiness: number; relay: number };
  storePort: number;
  ordersAddress: string;
  /** Runs for each line of its log. */
  onLine: (line: string) => void;
}

export async function startSoakInstance(options: SoakInstanceOptions): Promise<SoakInstance> {
  const { name, folder, ports, storePort, ordersAddress, onLine } = options;
  const callers = await openFaultLink(ports.callers);
  const store = await openFaultLink(storePort);
  const path = join(folder, `${name}.conf`);
  writeFileSync(
    path,
    [
      `node_name=${name}`,
      'zone=zone-1',
      'ip=127.0.0.1',
      `internal_ports=${ports.relay},${ports.relay}`,
      `listen.frontend=127.0.0.1:${ports.callers}`,
      `listen.readiness=127.0.0.1:${ports.readiness}`,
      `platform.address=127.0.0.1:${store.port}`,
      `cloud_api.address=${ordersAddress}`,
      '',
    ].join('\n'),
  );
  const start = () =>
    startProgram({
      program: 'wisterialift-instance',
      programArguments: [],
      environment: { WISTERIALIFT_BOOT: path },
      onLine,
    });
  let program = start();

  return {
    name,
    callers,
    store,
    process: () => program,
    restart: () => {
      if (!program.isRunning()) program = start();
    },
    reload: () => {
      if (program.isRunning()) process.kill(program.pid, 'SIGHUP');
    },
    close: async () => {
      program.thaw();
      await program.kill();
      callers.close();
      store.close();
    },
  };
}
