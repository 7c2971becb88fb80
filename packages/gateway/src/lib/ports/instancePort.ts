import type { RelayAcceptor, RelayStream, RelayStreamEvents } from '@wisterialift/peer/relay';
import type { ConnectionHolderCandidate } from '@wisterialift/pooling';

/** An entry of the instance registry. @public */
export interface InstanceEntry extends ConnectionHolderCandidate {
  /** Address at which the instance accepts relay streams. */
  address: string;
}

/**
 * Time within which a registry that reaches its store must report a change, also after a failed call.
 *
 * @public
 */
export const LIST_SETTLING_MILLISECONDS = 45_000;

/** How a list of instances relates to the lists of other instances. @public */
export interface InstanceListing {
  /**
   * Whether others may still have the former list, or one without this instance if it is the first list
   * of the process.
   */
  mayOthersLag: boolean;
}

/** Registry of all instances, including this one. @public */
export interface InstanceRegistry {
  /** Registers this instance and calls `onChange` with the full list at each change. */
  registerInstance: (
    onChange: (instances: InstanceEntry[], listing: InstanceListing) => void,
  ) => void;
  /** Reports an unreachable instance, which is removed unless it has registered again. */
  reportUnreachable: (instance: string) => void;
}

/** Opens and accepts relay streams between instances. @public */
export interface RelayTransport {
  open: (address: string, events: RelayStreamEvents) => RelayStream;
  /** Listens for streams of other instances; later calls have no effect. */
  listen: (accept: RelayAcceptor) => void;
  /** Whether responses to other instances have not been handed to the network yet. */
  hasUnsentData: () => boolean;
  close: () => void;
}
