import type { RelayRequest, RelayResponse } from '../../generated/wisterialift/peer/v1/relay';

/** Client side of a stream to another instance. @public */
export interface RelayStream {
  send: (request: RelayRequest) => void;
  /** Closes the stream; no events follow. */
  close: () => void;
}

/** Events of a stream to another instance. @public */
export interface RelayStreamEvents {
  onResponse: (response: RelayResponse) => void;
  /** The stream ended or could not be opened. */
  onLost: (error: Error) => void;
}

/** Called for each incoming stream. @public */
export type RelayAcceptor = (respond: (response: RelayResponse) => void) => {
  onRequest: (request: RelayRequest) => void;
  onEnd: () => void;
};
