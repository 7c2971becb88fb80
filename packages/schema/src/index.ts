export {
  INITIAL_POSITION,
  comparePositions,
  formatPosition,
  isAtMost,
  getHigherPosition,
  parsePosition,
  positionSchema,
  type Position,
} from './lib/position/position';
export {
  memberRoleSchema,
  memberStatusSchema,
  termStartSchema,
  votersSchema,
  type MemberRole,
  type MemberStatus,
  type ReportedMemberStatus,
  type TermStart,
  type Voters,
} from './lib/group/memberStatus';
export { lookUp } from './lib/lookup/lookUp';
export { GROUP_OBJECT_KIND, groupObjectSchema, type GroupObject } from './lib/group/groupObject';
export {
  DEFAULT_REQUEST_KIND,
  callerSchema,
  configurationSchema,
  databaseSchema,
  requestKindSchema,
  serviceLevelSchema,
  upstreamGroupSchema,
  type Caller,
  type Configuration,
  type Database,
  type RequestKind,
  type ServiceLevel,
  type UpstreamGroup,
} from './lib/configuration/configuration';
export {
  CONFIGURATION_OBJECT,
  MAXIMUM_RETAINED_PATCHES,
  acceptedPatchSchema,
  configurationObjectSchema,
  configurationPatchSchema,
  removedGroupSchema,
  type AcceptedPatch,
  type ConfigurationObject,
  type ConfigurationPatch,
  type RemovedGroup,
} from './lib/configuration/configurationObject';
export { instanceSchema, instanceStateSchema, type Instance } from './lib/instance/instance';
export { settingsSchema, type Settings } from './lib/settings/settings';
export { SettingsError, parseSettings, type SettingsIssue } from './lib/settings/parseSettings';
export {
  notRunReasonSchema,
  requestOutcomeSchema,
  unknownOutcomeReasonSchema,
  type NotRunReason,
  type RequestOutcome,
  type UnknownOutcomeReason,
} from './lib/request/outcome';
