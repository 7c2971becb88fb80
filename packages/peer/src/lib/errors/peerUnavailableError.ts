import { PeerError } from './peerError';

/** The peer did not answer within the deadline; it may have received the message. @public */
export class PeerUnavailableError extends PeerError {}
