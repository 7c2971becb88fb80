import type { RelayAcceptor, RelayStream, RelayStreamEvents } from '@wisterialift/peer/relay';
import type { ConnectionHolderCandidate } from '@wisterialift/pooling';

/** An entry of the instance registry. @public */
export interface InstanceEntry extends ConnectionHolderCandidate {
  /** Address at which the instance accepts relay streams. */
  address: string;
}

/** Registry of all instances, including this one. @public */
export interface InstanceRegistry {
  /** Registers this instance and calls `onChange` with the full list at each change. */
  registerInstance: (onChange: (instances: InstanceEntry[]) => void) => void;
  /** Reports an unreachable instance, which is removed unless it has registered again. */
  reportUnreachable: (instance: string) => void;
}

/** Opens and accepts relay streams between instances. @public */
export interface RelayTransport {
  open: (address: string, events: RelayStreamEvents) => RelayStream;
  /** Listens for streams of other instances; later calls have no effect. */
  listen: (accept: RelayAcceptor) => void;
  close: () => void;
}
