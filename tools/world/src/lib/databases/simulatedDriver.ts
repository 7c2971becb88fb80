import { UpstreamLostError, UpstreamRefusedError } from '@wisterialift/gateway';
import type { UpstreamConnection, UpstreamDriver } from '@wisterialift/gateway';
import type { MemberReport, UpstreamAnswer } from '@wisterialift/pooling';
import type { Host, Simulation } from '../simulation/host';
import { openStream } from '../simulation/stream';
import type { DatabaseReply, DatabaseRequest, SimulatedDatabase } from './simulatedDatabase';

interface Pending {
  resolve: (answer: UpstreamAnswer) => void;
  reject: (error: Error) => void;
}

/** Connects one instance to the databases. @internal */
export function createSimulatedDriver(options: {
  simulation: Simulation;
  host: Host;
  findDatabase: (address: string) => SimulatedDatabase | undefined;
  onOpened: () => void;
}): UpstreamDriver {
  const { simulation, host, findDatabase, onOpened } = options;
  const { scheduler } = simulation;
  const reports = new WeakMap<UpstreamAnswer, MemberReport>();

  return {
    connect: ({ address, group, memberId, team, timeoutMilliseconds }) =>
      new Promise((resolve, reject) => {
        const database = findDatabase(address);
        if (!database) {
          reject(new UpstreamLostError('nothing listens there', { isRefused: true }));
          return;
        }
        const pending: Pending[] = [];
        let isStarted = false;
        const lose = (error: UpstreamLostError) => {
          reject(error);
          for (const { reject: fail } of pending.splice(0)) fail(error);
        };
        const end = openStream<DatabaseRequest, DatabaseReply>({
          simulation,
          client: host,
          server: database.host,
          accept: () => database.accept,
          onOpen: () => end.send({ type: 'startup', group, memberId, client: team }),
          events: {
            onMessage: (reply) => {
              if (reply.type === 'ready') {
                isStarted = true;
                onOpened();
                resolve(createConnection());
              } else if (reply.type === 'refused') {
                reject(new UpstreamRefusedError(reply.reason, 'refused'));
              } else {
                if (reply.report) reports.set(reply.answer, reply.report);
                pending.shift()?.resolve(reply.answer);
              }
            },
            onClose: (reason) =>
              lose(new UpstreamLostError(reason, { isRefused: reason === 'refused' })),
          },
        });
        scheduler.after(timeoutMilliseconds, () => {
          if (isStarted) return;
          end.close();
          reject(new UpstreamLostError('no answer in time'));
        });

        function createConnection(): UpstreamConnection {
          return {
            run: (command) =>
              new Promise((answer, fail) => {
                if (!end.isOpen()) {
                  fail(new UpstreamLostError('the connection is closed'));
                  return;
                }
                pending.push({ resolve: answer, reject: fail });
                end.send({ type: 'command', command });
              }),
            isOpen: end.isOpen,
            close: () => {
              end.close();
              lose(new UpstreamLostError('the instance closed the connection'));
            },
          };
        }
      }),
    readReport: (answer) => reports.get(answer),
  };
}
