import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

/** Finds ports of the loopback interface that nobody listens on. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, openServer));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map(closeServer));
  return ports;
}

type Server = ReturnType<typeof createServer>;

function openServer(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => resolve(server));
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
