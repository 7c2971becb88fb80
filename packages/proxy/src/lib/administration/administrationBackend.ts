import type { GroupEngineView, PatchOutcome } from '@wisterialift/core';
import type {
  AcceptedPatch,
  ConfigurationObject,
  ConfigurationPatch,
  Instance,
} from '@wisterialift/schema';
import type { InstanceBurn, LatencySummary } from '@wisterialift/telemetry';
import type { PatchLookupResult } from '../configuration/configurationTask';
import type { ReadCounts } from '../process/decisionRecorder';

/** @public */
export type InstanceState = 'starting' | 'serving' | 'draining';

/** Response of `GET /v1/status`. @public */
export interface InstanceStatus {
  instance: { name: string; dataCentre: string; region: string };
  state: InstanceState;
  /** Number of the active configuration; 0 before the first. */
  configurationNumber: number;
  uptimeSeconds: number;
  residentMegabytes: number;
  callerConnections: number;
  groups: GroupEngineView[];
  /** Reads served by replicas and by the primary since the process started. */
  reads: ReadCounts[];
}

/** Data and operations that the administration API exposes. @public */
export interface AdministrationBackend {
  status: () => InstanceStatus;
  configuration: () => ConfigurationObject | undefined;
  submitPatch: (patch: ConfigurationPatch) => Promise<PatchOutcome>;
  /** @param againstNumber - configuration number that the patch was based on, if known. */
  findPatch: (patchId: string, againstNumber?: number) => Promise<PatchLookupResult>;
  history: () => AcceptedPatch[];
  instances: () => readonly Instance[];
  /** Marks an instance as leaving at the platform; it drains when it reads this mark. */
  drainInstance: (instance: Instance) => Promise<void>;
  burn: () => InstanceBurn;
  latencies: () => LatencySummary[];
}
