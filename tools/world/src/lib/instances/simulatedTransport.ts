import type { RelayTransport } from '@wisterialift/gateway';
import type { RelayAcceptor, RelayRequest, RelayResponse } from '@wisterialift/peer/relay';
import type { Host, Simulation } from '../simulation/host';
import { openStream } from '../simulation/stream';

/** Instances that take streams of others, by address. @internal */
export type RelayListeners = Map<string, { host: Host; accept: RelayAcceptor; life: number }>;

/** Streams between the instances of a world. @internal */
export function createSimulatedTransport(options: {
  simulation: Simulation;
  host: Host;
  hosts: ReadonlyMap<string, Host>;
  listeners: RelayListeners;
}): RelayTransport {
  const { simulation, host, hosts, listeners } = options;
  return {
    open: (address, events) => {
      const server = hosts.get(address)!;
      return openStream<RelayRequest, RelayResponse>({
        simulation,
        client: host,
        server,
        accept: () => {
          const listener = listeners.get(address);
          if (!listener || listener.life !== server.life()) return undefined;
          return (end) => {
            const taken = listener.accept(end.send);
            return { onMessage: taken.onRequest, onClose: taken.onEnd };
          };
        },
        onOpen: () => undefined,
        events: {
          onMessage: events.onResponse,
          onClose: (reason) => events.onLost(new Error(reason)),
        },
      });
    },
    listen: (accept) => {
      if (listeners.get(host.name)?.life === host.life()) return;
      listeners.set(host.name, { host, accept, life: host.life() });
    },
    hasUnsentData: () => false,
    close: () => undefined,
  };
}
