export { type CallerCommand, MalformedPacketError } from './lib/caller/callerCommand';
export {
  type CallerConnection,
  type CallerHandlers,
  type OkResponse,
} from './lib/caller/callerConnection';
export {
  createCallerListener,
  type CallerListener,
  type CallerListenerOptions,
  type CallerLogin,
  type ListenerAddress,
} from './lib/caller/callerListener';
export { type CallerTls } from './lib/caller/tlsUpgrade';
export { isPasswordProven, type ChallengeResponse } from './lib/caller/passwordCheck';
export {
  createGroupControlConnection,
  type ControlResponse,
  type ControlQuestion,
  type GroupControlConnection,
  type GroupControlConnectionOptions,
} from './lib/control/groupControlConnection';
export { serverStatus } from './lib/protocol/constants';
export { type SqlError } from './lib/protocol/errorPacket';
export { renumberFrames, toFrames } from './lib/protocol/frames';
export { EMPTY_OK, hasFlag, withFlag, type OkPacket } from './lib/protocol/okPacket';
export { type TextResult } from './lib/protocol/textResult';
export { type SqlBytes } from './lib/protocol/sqlBytes';
export { ProtocolError } from './lib/upstream/responseReader';
export {
  createUpstreamConnection,
  type ConnectFailure,
  type UpstreamAddress,
  type UpstreamConnection,
  type UpstreamConnectionOptions,
} from './lib/upstream/upstreamConnection';
export {
  type ResponseReceiver,
  type CompletedAnswer,
  type FinalPacket,
  type PreparedDescription,
  type UpstreamStatement,
} from './lib/upstream/upstreamStatement';
