import { PeerError } from './peerError';

/**
 * The peer could not be reached or did not answer within the deadline; it may have received the message.
 *
 * @public
 */
export class PeerUnavailableError extends PeerError {}
