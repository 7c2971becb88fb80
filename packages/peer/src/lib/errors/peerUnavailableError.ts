import { PeerError } from './peerError';

/** The peer gave no answer within the deadline; the message may have reached it. @public */
export class PeerUnavailableError extends PeerError {}
