import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { findFreePorts } from './freePorts';
import { createRedirectModule } from './links';
import type { LinkRoute, RedirectTable } from './links';
import { startStandIn } from './startProgram';
import type { ProgramProcess } from './startProgram';
import type { TrialLinks } from './trialOptions';

/** A port that processes of other data centres reach over a link. */
export interface LinkedPort {
  port: number;
  dataCentre: string;
}

/** The running links of a trial. */
export interface TrialLinkProcess {
  program: ProgramProcess;
  /** Modules to load before the programs of a data centre. */
  preloadOf: (dataCentre: string) => string[];
  /** Port by which a client in a data centre reaches a port of another one. */
  portFor: (dataCentre: string, port: number) => number;
}

/** What the relay process is told on its command line. */
export interface RelayArguments {
  routes: LinkRoute[];
  links: TrialLinks;
}

/** Starts one process that relays for every pair of data centre and port. */
export async function startLinks(options: {
  links: TrialLinks;
  dataCentres: string[];
  ports: LinkedPort[];
  directory: string;
}): Promise<TrialLinkProcess> {
  const { links, dataCentres, ports, directory } = options;
  const tables = new Map<string, RedirectTable>();
  const routes: LinkRoute[] = [];
  for (const dataCentre of dataCentres) {
    const remote = ports.filter((linked) => linked.dataCentre !== dataCentre);
    const listenPorts = await findFreePorts(remote.length);
    const pairs = remote.map(({ port }, index) => ({
      listenPort: listenPorts[index] ?? 0,
      targetPort: port,
    }));
    routes.push(...pairs);
    const table = Object.fromEntries(
      pairs.map(({ listenPort, targetPort }) => [targetPort, listenPort]),
    );
    tables.set(dataCentre, table);
    writeFileSync(modulePath(directory, dataCentre), createRedirectModule(table));
  }
  const relayArguments: RelayArguments = { routes, links };
  const { program } = await startStandIn({
    program: 'bench',
    programArguments: ['relay', JSON.stringify(relayArguments)],
  });
  return {
    program,
    preloadOf: (dataCentre) => [modulePath(directory, dataCentre)],
    portFor: (dataCentre, port) => tables.get(dataCentre)?.[port] ?? port,
  };
}

function modulePath(directory: string, dataCentre: string): string {
  return join(directory, `links-${dataCentre}.cjs`);
}
