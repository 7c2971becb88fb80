import type { GroupEngineView, PatchOutcome } from '@wisterialift/core';
import type {
  AcceptedPatch,
  ConfigurationObject,
  ConfigurationPatch,
  Instance,
} from '@wisterialift/schema';
import type { InstanceBurn, LatencySummary } from '@wisterialift/telemetry';
import type { PatchAnswer } from '../configuration/configurationTask';
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

/** Where the administration API takes its answers from. @public */
export interface AdministrationSources {
  status: () => InstanceStatus;
  configuration: () => ConfigurationObject | undefined;
  submitPatch: (patch: ConfigurationPatch) => Promise<PatchOutcome>;
  /** @param againstNumber - number that the patch was made against, if the operator knows it. */
  findPatch: (patchId: string, againstNumber?: number) => Promise<PatchAnswer>;
  history: () => AcceptedPatch[];
  instances: () => readonly Instance[];
  /** Marks an instance as leaving at the platform; it drains once its list says so. */
  drainInstance: (instance: Instance) => Promise<void>;
  burn: () => InstanceBurn;
  latencies: () => LatencySummary[];
}
