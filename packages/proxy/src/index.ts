export type {
  InstanceState,
  InstanceStatus,
  PatchAnswer,
  PatchFault,
} from './lib/administration/administrationSources';
