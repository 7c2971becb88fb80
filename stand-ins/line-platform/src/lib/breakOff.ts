import type { Socket } from 'node:net';

/**
 * Resets a connection. One whose end is on its way already is closed instead: the runtime does not
 * finish a reset of it and then never ends.
 */
export function breakOff(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
