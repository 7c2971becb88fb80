import { readFile } from 'node:fs/promises';
import type { PeerTls } from '@wisterialift/peer';
import { parseSettings } from '@wisterialift/schema';
import type { Settings } from '@wisterialift/schema';
import { createLogger } from '@wisterialift/telemetry';
import { createProxy } from './createProxy';
import { TlsFileError } from './tlsFileError';

/**
 * Runs an instance until it has drained, after SIGTERM, SIGINT or the platform's word.
 *
 * @param settingsPath - TOML file.
 * @throws SettingsError or TlsFileError before a socket is opened.
 * @public
 */
export async function runProxyProcess(settingsPath: string): Promise<void> {
  const text = await readFile(settingsPath, 'utf8');
  const settings = parseSettings({ file: settingsPath, text });
  const { instance, log } = settings;
  const logger = createLogger({ instance: instance.name, level: log.level });
  const proxy = createProxy({ settings, logger, peerTls: await readPeerTls(settings) });
  const onSignal = (signal: NodeJS.Signals): void => {
    logger.info('signalReceived', { signal });
    void proxy.drain();
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
  process.on('unhandledRejection', (reason) => {
    logger.error('unhandledRejection', { error: reason as Error });
  });
  await proxy.start();
  await proxy.drained;
  process.off('SIGTERM', onSignal);
  process.off('SIGINT', onSignal);
}

async function readPeerTls({ tls }: Settings): Promise<PeerTls | undefined> {
  if (!tls.peers) return undefined;
  const { certificate, key, authority } = tls.peers;
  if (authority === undefined) throw new TlsFileError('tls.peers.authority', 'a path is required');
  return {
    certificate: await readKeyFile('tls.peers.certificate', certificate),
    key: await readKeyFile('tls.peers.key', key),
    authority: await readKeyFile('tls.peers.authority', authority),
  };
}

async function readKeyFile(setting: string, path: string): Promise<Buffer> {
  try {
    return await readFile(path);
  } catch (error) {
    throw new TlsFileError(setting, (error as Error).message);
  }
}
