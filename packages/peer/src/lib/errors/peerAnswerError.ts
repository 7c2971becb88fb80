import { PeerError } from './peerError';

/** The peer refused the message, or its answer cannot be understood. @public */
export class PeerAnswerError extends PeerError {}
