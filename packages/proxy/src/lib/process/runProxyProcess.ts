import type { Settings } from '@wisterialift/schema';
import { createLogger } from '@wisterialift/telemetry';
import { createProxy } from './createProxy';
import { readKeys } from './readKeys';

/**
 * Runs an instance until it has drained, after SIGTERM, SIGINT or the platform's word. SIGHUP reads the
 * keys of TLS again.
 *
 * @throws TlsFileError before a socket is opened.
 * @public
 */
export async function runProxyProcess(settings: Settings): Promise<void> {
  const { instance, log } = settings;
  const logger = createLogger({ instance: instance.name, level: log.level });
  const proxy = createProxy({ settings, logger, keys: await readKeys(settings) });
  const onSignal = (signal: NodeJS.Signals): void => {
    logger.info('signalReceived', { signal });
    void proxy.drain();
  };
  /** Keys that cannot be used leave the present ones in place, so a bad file stops nothing. */
  const onHangUp = (): void => {
    readKeys(settings).then(
      (keys) => proxy.replaceKeys(keys),
      (error: Error) => logger.error('keysNotReplaced', { error }),
    );
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  process.on('SIGHUP', onHangUp);
  process.on('unhandledRejection', (reason) => {
    logger.error('unhandledRejection', { error: reason as Error });
  });
  await proxy.start();
  await proxy.drained;
  process.off('SIGTERM', onSignal);
  process.off('SIGINT', onSignal);
  process.off('SIGHUP', onHangUp);
}
