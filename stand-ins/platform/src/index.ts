export {
  createPlatformStandIn,
  type PlatformStandIn,
  type PlatformStandInOptions,
  type PlatformStandInPorts,
} from './lib/platformStandIn';
export { type FaultChanges, type FaultState } from './lib/fault/faults';
export { type CallCounts, type Operation } from './lib/server/callCounter';
