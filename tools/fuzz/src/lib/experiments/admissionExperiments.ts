import { runConnections } from './connectionExperiment';
import { runOverload } from './overloadExperiment';
import { runRetries } from './retryExperiment';
import { runRunningLimit } from './runningExperiment';

/**
 * Runs every admission experiment, the simple baseline and the change from the same seed.
 *
 * @public
 */
export function runAdmissionExperiments(seed: number) {
  return {
    atCapacity: {
      firstInFirstOut: runOverload('firstInFirstOut', 1, seed),
      fairWithDeadlines: runOverload('fairWithDeadlines', 1, seed),
    },
    atTwiceTheCapacity: {
      firstInFirstOut: runOverload('firstInFirstOut', 2, seed),
      fairWithDeadlines: runOverload('fairWithDeadlines', 2, seed),
    },
    retriesOnASlowDatabase: {
      unlimited: runRetries('unlimited', seed),
      budget: runRetries('budget', seed),
    },
    connectionsUnderLaggingLists: {
      equalSplit: runConnections('equalSplit', seed),
      holdDown: runConnections('holdDown', seed),
    },
    oneBusyInstanceOfSeven: {
      fairPart: runRunningLimit('fairPart', 1, seed),
      allSlots: runRunningLimit('allSlots', 1, seed),
      adaptive: runRunningLimit('adaptive', 1, seed),
    },
    sevenBusyInstances: {
      fairPart: runRunningLimit('fairPart', 7, seed),
      allSlots: runRunningLimit('allSlots', 7, seed),
      adaptive: runRunningLimit('adaptive', 7, seed),
    },
  };
}
