import type { CloseReason, Host, Simulation } from './host';

/** One end of a connection; messages arrive whole and in order. @internal */
export interface StreamEnd<Message> {
  send: (message: Message) => void;
  close: () => void;
  isOpen: () => boolean;
}

/** What one end of a connection hears. @internal */
export interface StreamEvents<Message> {
  onMessage: (message: Message) => void;
  onClose: (reason: CloseReason) => void;
}

/** Takes a connection, or refuses it as a port without a listener does. @internal */
export type StreamAcceptor<ToServer, ToClient> = (
  end: StreamEnd<ToClient>,
  client: Host,
) => StreamEvents<ToServer> | undefined;

/** Time until the first packet of a connection is sent again where nobody answered. */
const OPENING_RETRY_MILLISECONDS = 1_000;

/**
 * Time after which the far end drops a connection whose machine has lost power. The far end's own
 * process decides nothing here; its system's probes do.
 */
const UNREACHABLE_MILLISECONDS = 3_000;

interface Side<Message> {
  host: Host;
  life: number;
  events: StreamEvents<Message> | undefined;
  isOpen: boolean;
  /** Number of the next message that it sends, and that it expects. */
  sent: number;
  expected: number;
  early: Map<number, () => void>;
}

/**
 * Opens a connection between two processes.
 *
 * @param options.accept - asked at the server's machine when the first packet is there.
 * @param options.onOpen - called at the client once the server has taken the connection.
 * @internal
 */
export function openStream<ToServer, ToClient>(options: {
  simulation: Simulation;
  client: Host;
  server: Host;
  accept: () => StreamAcceptor<ToServer, ToClient> | undefined;
  events: StreamEvents<ToClient>;
  onOpen: () => void;
}): StreamEnd<ToServer> {
  const { simulation, accept, events, onOpen } = options;
  const { network, scheduler } = simulation;
  const client = createSide(options.client, events);
  const server = createSide<ToServer>(options.server, undefined);

  const isAlive = ({ host, life }: Side<never> | Side<ToClient> | Side<ToServer>) =>
    host.isPowered() && host.life() === life;

  function deliver<From, To>(from: Side<From>, to: Side<To>, action: () => void): void {
    const number = from.sent;
    Object.assign(from, { sent: number + 1 });
    network.send(from.host.name, to.host.name, () => {
      to.early.set(number, action);
      for (let next = to.early.get(to.expected); next; next = to.early.get(to.expected)) {
        to.early.delete(to.expected);
        Object.assign(to, { expected: to.expected + 1 });
        next();
      }
    });
  }

  /** Hands something to a side whose process still lives; a machine without it answers with a reset. */
  function arriveAt<From, To>(from: Side<From>, to: Side<To>, action: () => void): void {
    deliver(from, to, () => {
      if (isAlive(to) && to.isOpen) action();
      else if (to.host.isPowered() && !isAlive(to)) closeSide(to, from, 'reset');
    });
  }

  function closeSide<From, To>(from: Side<From>, to: Side<To>, reason: CloseReason): void {
    network.send(from.host.name, to.host.name, () => {
      if (!to.isOpen || !isAlive(to)) return;
      Object.assign(to, { isOpen: false });
      to.events?.onClose(reason);
    });
  }

  function watchEnd<From, To>(own: Side<From>, other: Side<To>): void {
    own.host.onEnd((how) => {
      if (!own.isOpen) return;
      Object.assign(own, { isOpen: false });
      if (how === 'killed') closeSide(own, other, 'reset');
      else scheduler.after(UNREACHABLE_MILLISECONDS, () => dropUnreachable(other));
    });
  }

  function dropUnreachable<Message>(side: Side<Message>): void {
    if (!side.isOpen || !isAlive(side)) return;
    Object.assign(side, { isOpen: false });
    side.events?.onClose('reset');
  }

  function createEnd<From, To>(from: Side<From>, to: Side<To>): StreamEnd<To> {
    return {
      send: (message) => {
        if (!from.isOpen || !isAlive(from)) return;
        arriveAt(from, to, () => to.events?.onMessage(message));
      },
      close: () => {
        if (!from.isOpen) return;
        Object.assign(from, { isOpen: false });
        arriveAt(from, to, () => {
          Object.assign(to, { isOpen: false });
          to.events?.onClose('closed');
        });
      },
      isOpen: () => from.isOpen && isAlive(from),
    };
  }

  function knock(): void {
    if (!client.isOpen || !isAlive(client)) return;
    network.send(client.host.name, server.host.name, () => {
      if (server.events) return;
      if (!server.host.isPowered()) {
        scheduler.after(OPENING_RETRY_MILLISECONDS, knock);
        return;
      }
      server.life = server.host.life();
      const taken = accept()?.(createEnd(server, client), client.host);
      if (!taken) {
        closeSide(server, client, 'refused');
        return;
      }
      server.events = taken;
      watchEnd(server, client);
      arriveAt(server, client, onOpen);
    });
  }

  watchEnd(client, server);
  knock();
  return createEnd(client, server);
}

function createSide<Message>(host: Host, events: StreamEvents<Message> | undefined): Side<Message> {
  return {
    host,
    life: host.life(),
    events,
    isOpen: true,
    sent: 0,
    expected: 0,
    early: new Map(),
  };
}
