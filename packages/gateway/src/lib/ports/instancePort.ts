import type { RelayAcceptor, RelayStream, RelayStreamEvents } from '@wisterialift/peer/relay';
import type { HolderCandidate } from '@wisterialift/pooling';

/** An instance as the list of instances has it. @public */
export interface InstanceEntry extends HolderCandidate {
  /** Where it takes statements of other instances' callers. */
  address: string;
}

/** The list of all instances, this one included. @public */
export interface InstanceRegistry {
  /** Enters this instance and calls back with the list at each change. */
  follow: (onChange: (instances: InstanceEntry[]) => void) => void;
  /** Another instance has not been reached for long; it is taken off the list unless it came back. */
  reportGone: (instance: string) => void;
}

/** Streams between instances. @public */
export interface RelayTransport {
  open: (address: string, events: RelayStreamEvents) => RelayStream;
  /** Listens for streams of other instances; calls after the first do nothing. */
  listen: (accept: RelayAcceptor) => void;
  close: () => void;
}
