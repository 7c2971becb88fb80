export { startTrial, type Trial } from './lib/cluster/startTrial';
export {
  BADAN_OPTIONS,
  CONSORZIO_OPTIONS,
  DEFAULT_TRIAL_OPTIONS,
  type TrialCaller,
  type TrialDataCentre,
  type TrialLinks,
  type TrialOptions,
} from './lib/cluster/trialOptions';
export {
  type DatabaseFaults,
  type DatabaseHealth,
  type TrialDatabase,
} from './lib/cluster/startDatabase';
export { type PlatformFaults, type TrialPlatform } from './lib/cluster/startPlatform';
export { type TrialProxy } from './lib/cluster/startProxy';
export { findFreePorts } from './lib/cluster/freePorts';
export { ProgramError, startProgram, type ProgramProcess } from './lib/cluster/startProgram';
