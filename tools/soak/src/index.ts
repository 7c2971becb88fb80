export { FAULT_NAMES } from './lib/faults/faultHandlers';
export { createFaultPlan, type FaultPlan, type PlannedFault } from './lib/faults/faultPlan';
export { runSoak, type SoakOptions, type SoakResult } from './lib/runSoak';
