export { runAdmissionExperiments } from './lib/experiments/admissionExperiments';
export {
  runConfigurationHistory,
  type ConfigurationPlan,
  type ConfigurationResult,
} from './lib/configuration/configurationHistory';
export {
  FAULT_KINDS,
  historyArbitrary,
  type FaultPlan,
  type HistoryPlan,
} from './lib/history/historyPlan';
export { runHistory, type HistoryResult } from './lib/history/runHistory';
export {
  TEXT_PIECES,
  WORD_PIECES,
  createDrawnTexts,
  joinPieces,
  type DrawnTexts,
} from './lib/simulation/drawnTexts';
export { createRandom, type Random } from './lib/simulation/random';
export { runConfigurationFuzz, runGroupFuzz, type FuzzSummary } from './lib/runFuzz';
export { createNetwork, type LinkFault, type Network } from './lib/simulation/network';
export { createScheduler, type Scheduler } from './lib/simulation/scheduler';
export { commonLength, endOf, positionAt, type LogEntry } from './lib/fakes/memberLog';
