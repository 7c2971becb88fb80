import type { GroupEngineView } from '@wisterialift/core';
import type {
  AcceptedPatch,
  ConfigurationObject,
  ConfigurationPatch,
  Instance,
} from '@wisterialift/schema';
import type { InstanceBurn, LatencySummary } from '@wisterialift/telemetry';
import type { ReadCounts } from '../process/recordDecision';

/** @public */
export type InstanceState = 'starting' | 'serving' | 'draining';

/** What one instance tells about itself. @public */
export interface InstanceStatus {
  instance: { name: string; dataCentre: string; region: string };
  state: InstanceState;
  /** Number of the configuration in force here; 0 before the first one. */
  configurationNumber: number;
  uptimeSeconds: number;
  residentMegabytes: number;
  callerConnections: number;
  groups: GroupEngineView[];
  /** Reads by the kind of member that served them, since the start. */
  reads: ReadCounts[];
}

/** One fault of a patch: where in the configuration, and what would be accepted. @public */
export interface PatchFault {
  path: string;
  reason: string;
}

/** How a submitted patch ended, as far as the instance knows. @public */
export type PatchAnswer =
  | { outcome: 'accepted'; patchId: string; number: number }
  | { outcome: 'outdated'; patchId: string; presentNumber: number }
  | { outcome: 'invalid'; patchId: string; faults: PatchFault[] }
  | { outcome: 'unknown'; patchId: string };

/** Where the administration API takes its answers from. @public */
export interface AdministrationSources {
  status: () => InstanceStatus;
  configuration: () => ConfigurationObject | undefined;
  submitPatch: (patch: ConfigurationPatch) => Promise<PatchAnswer>;
  findPatch: (patchId: string) => Promise<AcceptedPatch | undefined>;
  history: () => Promise<AcceptedPatch[]>;
  instances: () => readonly Instance[];
  /** Marks an instance as leaving at the platform; it drains once its list says so. */
  drainInstance: (instance: Instance) => Promise<void>;
  burn: () => InstanceBurn;
  latencies: () => LatencySummary[];
}
