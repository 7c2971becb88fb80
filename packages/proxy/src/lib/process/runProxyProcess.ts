import type { Settings } from '@wisterialift/schema';
import { createLogger } from '@wisterialift/telemetry';
import { createProxy } from './createProxy';
import { readTlsKeys } from './readTlsKeys';

/**
 * Runs an instance until it has drained, on SIGTERM, SIGINT or its leaving mark at the platform, or
 * if the listener for callers cannot start. SIGHUP reloads the TLS keys.
 *
 * @throws TlsFileError before a socket is opened.
 * @public
 */
export async function runProxyProcess(settings: Settings): Promise<void> {
  const { instance, log } = settings;
  const logger = createLogger({ instance: instance.name, level: log.level });
  const proxy = createProxy({ settings, logger, keys: await readTlsKeys(settings) });
  const onTerminationSignal = (signal: NodeJS.Signals): void => {
    logger.info('signalReceived', { signal });
    void proxy.drain();
  };
  /** Keeps the current keys if the new ones cannot be read. */
  const onHangupSignal = (): void => {
    readTlsKeys(settings).then(
      (keys) => proxy.replaceKeys(keys),
      (error: Error) => logger.error('keysNotReplaced', { error }),
    );
  };
  process.on('SIGTERM', onTerminationSignal);
  process.on('SIGINT', onTerminationSignal);
  process.on('SIGHUP', onHangupSignal);
  process.on('unhandledRejection', (reason) => {
    logger.error('unhandledRejection', { error: reason as Error });
  });
  await proxy.start();
  await proxy.drained;
  process.off('SIGTERM', onTerminationSignal);
  process.off('SIGINT', onTerminationSignal);
  process.off('SIGHUP', onHangupSignal);
}
