import type { LogLevel, Logger } from '@wisterialift/telemetry';
import type { ConfigurationRecord, RecordConfiguration } from '../configuration/messages';

/** Log level of each event of the configuration task. */
const LEVEL_BY_RECORD: Record<ConfigurationRecord['name'], LogLevel> = {
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

/** Turns the events of the configuration task into log lines. @internal */
export function createConfigurationRecorder(options: { logger: Logger }): RecordConfiguration {
  return ({ name, ...fields }) => options.logger[LEVEL_BY_RECORD[name]](name, fields);
}
