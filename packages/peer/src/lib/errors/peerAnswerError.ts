import { PeerError } from './peerError';

/** The peer rejected the message, or its answer is invalid. @public */
export class PeerAnswerError extends PeerError {}
