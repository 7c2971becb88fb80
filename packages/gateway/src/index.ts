export {
  createGateway,
  type Gateway,
  type GatewayOptions,
  type GatewayTimes,
} from './lib/createGateway';
export {
  createTeamDirectory,
  type Consistency,
  type GatewayConfiguration,
  type GroupLimits,
  type Route,
  type Team,
  type TeamDirectory,
} from './lib/configuration/gatewayConfiguration';
export {
  LOAD_CONTROLS,
  loadControlsSchema,
  type IsLoadControlEnabled,
  type LoadControl,
} from './lib/configuration/loadControls';
export { UpstreamLostError } from './lib/errors/upstreamLostError';
export { UpstreamRefusedError } from './lib/errors/upstreamRefusedError';
export { parseReturnTime } from './lib/groups/returnTime';
export { MECHANISMS, type Mechanism } from './lib/mechanisms';
export {
  type CallerAcceptor,
  type CallerAnswer,
  type CallerEvents,
  type CallerLink,
} from './lib/ports/callerPort';
export {
  LIST_SETTLING_MILLISECONDS,
  type InstanceEntry,
  type InstanceListing,
  type InstanceRegistry,
  type RelayTransport,
} from './lib/ports/instancePort';
export { createProcessClock, type CancelTimer, type Clock } from './lib/ports/clock';
export {
  type ConfigurationPort,
  type DirectoryFreshness,
  type DirectoryEntry,
  type DirectoryPort,
  type PromotionOrderOutcome,
  type PromotionOrderClient,
  type MemberRegisterStore,
  type PromotionStore,
  type RecordStore,
  type ReplacementOutcome,
  type StoredPromotionRecord,
  type StoredRecord,
} from './lib/ports/platformPort';
export {
  type UpstreamConnection,
  type UpstreamDriver,
  type UpstreamTarget,
} from './lib/ports/upstreamPort';
export { type GatewayMetrics, type StoreCallCount } from './lib/metrics/gatewayMetrics';
export { type AnswerSample } from './lib/sessions/callerSession';
