import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import type { TrialLinks } from './trialOptions';

/** One way over a link: connections to `listenPort` go on to `targetPort`, delayed. */
export interface LinkRoute {
  listenPort: number;
  targetPort: number;
}

/** Pause after which a lost piece is sent again. */
const RETRANSMISSION_MILLISECONDS = 200;

const TIMER_RESOLUTION_MILLISECONDS = 0.5;

/** Opens the relays of the links; returns a function that closes them. */
export async function openLinks(
  routes: readonly LinkRoute[],
  links: TrialLinks,
  random: () => number,
): Promise<() => void> {
  const sockets = new Set<Socket>();
  const servers = await Promise.all(
    routes.map(({ listenPort, targetPort }) =>
      listen(listenPort, (near) => {
        const far = connect(targetPort, '127.0.0.1');
        [near, far].forEach((socket) => {
          socket.setNoDelay(true);
          sockets.add(socket);
          socket.once('close', () => sockets.delete(socket));
          // The other side sees the end of the connection; there is nobody else to tell.
          socket.on('error', () => undefined);
        });
        relay({ from: near, to: far, links, random });
        relay({ from: far, to: near, links, random });
      }),
    ),
  );
  return () => {
    servers.forEach((server) => server.close());
    sockets.forEach((socket) => socket.destroy());
  };
}

function listen(port: number, onConnection: (socket: Socket) => void): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer(onConnection);
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

interface RelayOptions {
  from: Socket;
  to: Socket;
  links: TrialLinks;
  random: () => number;
}

interface DelayedAction {
  due: number;
  action: () => void;
}

/** Hands on what arrives after the delay of the link, in order. */
function relay({ from, to, links, random }: RelayOptions): void {
  const { delayMilliseconds, jitterMilliseconds, loss } = links;
  const queue: DelayedAction[] = [];

  function schedule(action: () => void): void {
    const isLost = random() < loss;
    const extra = random() * jitterMilliseconds + (isLost ? RETRANSMISSION_MILLISECONDS : 0);
    const due = Math.max(queue.at(-1)?.due ?? 0, performance.now() + delayMilliseconds + extra);
    queue.push({ due, action });
    if (queue.length === 1) setTimeout(runDue, due - performance.now());
  }

  function runDue(): void {
    const now = performance.now();
    while (queue[0] && queue[0].due <= now + TIMER_RESOLUTION_MILLISECONDS) queue.shift()?.action();
    if (queue[0]) setTimeout(runDue, queue[0].due - now);
  }

  from.on('data', (piece) => {
    schedule(() => {
      to.write(piece);
    });
  });
  from.once('end', () => schedule(() => to.end()));
  from.once('close', () => schedule(() => to.destroy()));
}

/** Ports that a process reaches over a link, and the relay that stands for each. */
export type RedirectTable = Record<number, number>;

/**
 * Text of a module that, loaded before a program, sends its connections to the listed ports over
 * the relays. The shared configuration has one address for each database, so the place of a process
 * can only be told on its own side.
 */
export function createRedirectModule(table: RedirectTable): string {
  return `(${redirectConnections.toString()})(${JSON.stringify(table)});\n`;
}

/** Runs in the other process; uses nothing from outside itself. */
function redirectConnections(table: RedirectTable): void {
  const { Socket: SocketClass } = process.getBuiltinModule('node:net');
  const originalConnect = SocketClass.prototype.connect as (...values: unknown[]) => Socket;

  function redirect(value: unknown): unknown {
    if (Array.isArray(value)) {
      const [first, ...rest] = value as unknown[];
      return Object.assign([redirect(first), ...rest], copySymbols(value));
    }
    if (typeof value === 'number') return table[value] ?? value;
    if (typeof value !== 'object' || value === null || !('port' in value)) return value;
    return { ...value, port: table[Number(value.port)] ?? value.port };
  }

  /** Node marks arguments that it has already put in order by a symbol. */
  function copySymbols(value: object): object {
    return Object.fromEntries(
      Object.getOwnPropertySymbols(value).map((symbol) => [
        symbol,
        (value as Record<symbol, unknown>)[symbol],
      ]),
    );
  }

  Object.assign(SocketClass.prototype, {
    connect(this: Socket, first: unknown, ...rest: unknown[]): Socket {
      return originalConnect.call(this, redirect(first), ...rest);
    },
  });
}
