import type { SimulatedDatabase } from '../databases/simulatedDatabase';

/** What the databases of one role had to do at a moment. @public */
export interface RoleSample {
  connections: number;
  busySlots: number;
  waiting: number;
}

/** @public */
export interface DatabaseSample {
  at: number;
  primaries: RoleSample;
  replicas: RoleSample;
}

/** Adds up the databases by their roles. @internal */
export function sampleDatabases(
  at: number,
  databases: ReadonlyMap<string, SimulatedDatabase>,
): DatabaseSample {
  const all = [...databases.values()];
  return {
    at: Math.round(at),
    primaries: addUp(all.filter(({ state }) => state.role === 'primary')),
    replicas: addUp(all.filter(({ state }) => state.role === 'replica')),
  };
}

function addUp(databases: readonly SimulatedDatabase[]): RoleSample {
  const sum = { connections: 0, busySlots: 0, waiting: 0 };
  for (const { connectionCount, slots } of databases) {
    sum.connections += connectionCount();
    sum.busySlots += slots.busySlots();
    sum.waiting += slots.waiting();
  }
  return sum;
}
