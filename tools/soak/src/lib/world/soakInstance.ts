import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { startProgram } from '@wisterialift/bench';
import type { ProgramProcess } from '@wisterialift/bench';
import { writeInstanceSettings } from '@wisterialift/stand-in-line-platform';
import { openFaultLink } from './faultLink';
import type { FaultLink } from './faultLink';

/** One instance as a process of its own, and the links around it. */
export interface SoakInstance {
  name: string;
  callers: FaultLink;
  store: FaultLink;
  /** Ends it by force or as for a planned stop. */
  end: (how: 'kill' | 'stop') => Promise<void>;
  /** Starts it again after it has ended. */
  restart: () => void;
  /** The last lines of each life that ended without the soak's doing. */
  failures: () => string[];
  freeze: () => void;
  thaw: () => void;
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
    writeInstanceSettings({
      instance: name,
      callers: `127.0.0.1:${ports.callers}`,
      readiness: `127.0.0.1:${ports.readiness}`,
      relayPort: ports.relay,
      store: `127.0.0.1:${store.port}`,
      orders: ordersAddress,
    }),
  );
  const failures: string[] = [];
  let program: ProgramProcess | undefined;
  let isEndExpected = false;

  /** Starts it, and again whenever it ends without the soak's doing, as the platform does. */
  function start(): void {
    const started = startProgram({
      program: 'wisterialift-instance',
      programArguments: [],
      environment: { WISTERIALIFT_BOOT: path },
      onLine,
    });
    isEndExpected = false;
    program = started;
    void started.ended.then((code) => {
      if (isEndExpected) return;
      const lines = started.lastLines();
      // A signal that strikes before the runtime runs any code of the program ends it; nothing in the
      // program can take it there, and the platform starts it again.
      const isBeforeStart = code === null && lines.length === 0;
      if (!isBeforeStart) failures.push(`code ${code}: ${lines.slice(-12).join(' | ')}`);
      start();
    });
  }

  async function end(how: 'kill' | 'stop'): Promise<void> {
    isEndExpected = true;
    program?.thaw();
    await program?.[how]();
  }

  start();

  return {
    name,
    callers,
    store,
    end,
    restart: () => {
      if (!program?.isRunning()) start();
    },
    freeze: () => program?.freeze(),
    thaw: () => program?.thaw(),
    reload: () => {
      if (program?.isRunning()) process.kill(program.pid, 'SIGHUP');
    },
    failures: () => failures,
    close: async () => {
      await end('kill');
      callers.close();
      store.close();
    },
  };
}
