import { setTimeout as pause } from 'node:timers/promises';
import type { World } from '../world/startWorld';
import { FAULT_HANDLERS } from './faultHandlers';
import type { PlannedFault } from './faultPlan';

/** Strikes all faults of a plan at their times; resolves when the last one is over. */
export async function injectFaults(world: World, faults: readonly PlannedFault[]): Promise<void> {
  await Promise.all(
    faults.map(async (fault) => {
      await pause(fault.at);
      await FAULT_HANDLERS[fault.name](world, fault);
    }),
  );
}
