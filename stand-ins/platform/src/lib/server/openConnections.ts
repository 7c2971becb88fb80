import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** @public */
export interface OpenConnections {
  cutAll: () => void;
}

/** Follows the connections of a server, so that all of them can be cut at once. @public */
export function trackOpenConnections(server: Server): OpenConnections {
  const sockets = new Set<Socket>();
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  return { cutAll: () => sockets.forEach((socket) => socket.destroy()) };
}
