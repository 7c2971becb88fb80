import type { RelayRequest, RelayResponse } from '../../generated/wisterialift/peer/v1/relay';

/** The sender's end of a stream to another instance. @public */
export interface RelayStream {
  send: (request: RelayRequest) => void;
  /** Ends it; no event comes afterwards. */
  close: () => void;
}

/** What comes over a stream to another instance. @public */
export interface RelayStreamEvents {
  onResponse: (response: RelayResponse) => void;
  /** It ended, or could not be opened. */
  onLost: (error: Error) => void;
}

/** Called for each stream that another instance opens. @public */
export type RelayAcceptor = (respond: (response: RelayResponse) => void) => {
  onRequest: (request: RelayRequest) => void;
  onEnd: () => void;
};
