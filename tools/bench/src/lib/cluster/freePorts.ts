import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

/**
 * The ports tried. They lie below the range from which the system gives out local ports: a port of
 * that range that was free a moment ago may by then carry somebody's outgoing connection, which
 * shows as "address already in use" when the program starts.
 */
const LOWEST_PORT = 10_000;
const PORT_COUNT = 20_000;

/** Finds ports of the loopback interface that nobody listens on. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers: Server[] = [];
  // A random start keeps trials that run side by side apart.
  let offset = Math.floor(Math.random() * PORT_COUNT);
  while (servers.length < count) {
    const server = await openServer(LOWEST_PORT + (offset % PORT_COUNT));
    if (server) servers.push(server);
    offset += 1;
  }
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map(closeServer));
  return ports;
}

type Server = ReturnType<typeof createServer>;

/** Listens on the port; undefined where somebody else does. */
function openServer(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
  });
}

/** Whether somebody listens on a port of the loopback interface. */
export function isListening(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    const onEnd = (result: boolean): void => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => onEnd(true));
    socket.once('error', () => onEnd(false));
  });
}
