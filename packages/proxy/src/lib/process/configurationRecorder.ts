import type { LogLevel, Logger } from '@wisterialift/telemetry';
import type {
  ConfigurationEvent,
  RecordConfigurationEvent,
} from '../configuration/configurationEvents';

const LEVEL_BY_EVENT: Record<ConfigurationEvent['name'], LogLevel> = {
  configurationAdopted: 'info',
  configurationRefused: 'error',
  platformUnavailable: 'warn',
  platformAvailable: 'info',
  patchFinished: 'info',
  watchRoleChanged: 'info',
  instancesChanged: 'info',
  primaryPublishFailed: 'warn',
  configurationTaskFault: 'error',
};

/** Writes the events of the configuration task as log lines. @internal */
export function createConfigurationRecorder(options: { logger: Logger }): RecordConfigurationEvent {
  return ({ name, ...fields }) => options.logger[LEVEL_BY_EVENT[name]](name, fields);
}
