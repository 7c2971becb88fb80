// A link on the loopback interface between a program and what it connects to.
import { connect, createServer } from 'node:net';

/** Opens a link to an address; `cut` resets its connections and refuses new ones. */
export async function openLink(target) {
  const [host, port] = target.split(':');
  const sockets = new Set();
  const server = createServer({ noDelay: true }, (near) => {
    const far = connect({ host, port: Number(port), noDelay: true });
    for (const [from, to] of [
      [near, far],
      [far, near],
    ]) {
      sockets.add(from);
      from.pipe(to);
      from.on('error', () => to.destroy());
      from.on('close', () => {
        sockets.delete(from);
        to.destroy();
      });
    }
  });
  await new Promise((resolve) => {
    server.listen({ host: '127.0.0.1', port: 0 }, resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    cut: () => {
      server.close();
      for (const socket of sockets) socket.resetAndDestroy();
    },
  };
}
