import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { breakOff } from '@wisterialift/stand-in-line-platform';

/**
 * What a link does to the bytes that it carries. Bytes of a silent direction are held and go on when
 * the link passes again, unless the connection has been reset meanwhile.
 */
export type LinkMode = 'pass' | 'delay' | 'silent' | 'silentThere' | 'silentBack';

/** A relay on the loopback interface between a program and what it connects to. */
export interface FaultLink {
  port: number;
  setMode: (mode: LinkMode) => void;
  /** Breaks all connections that it carries. */
  resetAll: () => void;
  /** Connects new connections to another port from now on. */
  retarget: (port: number) => void;
  close: () => void;
}

type Direction = 'there' | 'back';

/** One way of a slow link: longer than any between data centres, shorter than any time limit. */
const DELAY_MILLISECONDS = 60;

const HELD_DIRECTIONS: Record<LinkMode, ReadonlySet<Direction>> = {
  pass: new Set(),
  delay: new Set(),
  silent: new Set<Direction>(['there', 'back']),
  silentThere: new Set<Direction>(['there']),
  silentBack: new Set<Direction>(['back']),
};

/** Opens a link to a port. */
export async function openFaultLink(target: number): Promise<FaultLink> {
  const sockets = new Set<Socket>();
  const flushes = new Set<() => void>();
  let targetPort = target;
  let mode: LinkMode = 'pass';

  function carry(from: Socket, to: Socket, direction: Direction): void {
    const held: (() => void)[] = [];
    const flush = () => {
      if (HELD_DIRECTIONS[mode].has(direction)) return;
      for (const step of held.splice(0)) step();
    };
    const pass = (step: () => void) => {
      held.push(step);
      if (mode === 'delay') setTimeout(flush, DELAY_MILLISECONDS);
      else flush();
    };
    flushes.add(flush);
    from.on('data', (piece) => pass(() => to.write(piece)));
    from.on('end', () => pass(() => to.end()));
    from.on('close', (hadError) => {
      flushes.delete(flush);
      if (!hadError) return;
      held.splice(0);
      breakOff(to);
    });
  }

  const server = createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
    const far = connect({
      port: targetPort,
      host: '127.0.0.1',
      noDelay: true,
      allowHalfOpen: true,
    });
    for (const socket of [near, far]) {
      sockets.add(socket);
      // The other side is told by the reset; there is nobody else to tell.
      socket.on('error', () => undefined);
      socket.on('close', () => sockets.delete(socket));
    }
    carry(near, far, 'there');
    carry(far, near, 'back');
  });
  await new Promise<void>((resolve) => {
    server.listen({ host: '127.0.0.1', port: 0 }, resolve);
  });

  const resetAll = () => {
    [...sockets].forEach(breakOff);
  };

  return {
    port: (server.address() as AddressInfo).port,
    setMode: (next) => {
      mode = next;
      for (const flush of [...flushes]) flush();
    },
    resetAll,
    retarget: (port) => {
      targetPort = port;
    },
    close: () => {
      server.close();
      resetAll();
    },
  };
}
