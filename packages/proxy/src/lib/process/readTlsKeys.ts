import { readFile } from 'node:fs/promises';
import type { CallerTls } from '@wisterialift/mysql';
import type { PeerTls } from '@wisterialift/peer';
import type { Settings } from '@wisterialift/schema';
import { TlsFileError } from './tlsFileError';

/** TLS keys and certificates; undefined if the settings name no files. @public */
export interface TlsKeys {
  callers?: CallerTls;
  peers?: PeerTls;
}

/**
 * Reads the key and certificate files that the settings name.
 *
 * @throws TlsFileError with the setting whose file cannot be read.
 * @internal
 */
export async function readTlsKeys({ tls }: Settings): Promise<TlsKeys> {
  return {
    callers: tls.callers && (await readCallerKeys(tls.callers)),
    peers: tls.peers && (await readPeerKeys(tls.peers)),
  };
}

type CallerFiles = NonNullable<Settings['tls']['callers']>;
type PeerFiles = NonNullable<Settings['tls']['peers']>;

async function readCallerKeys({ certificate, key, authority }: CallerFiles): Promise<CallerTls> {
  return {
    certificate: await readKeyFile('tls.callers.certificate', certificate),
    key: await readKeyFile('tls.callers.key', key),
    authority:
      authority === undefined ? undefined : await readKeyFile('tls.callers.authority', authority),
  };
}

async function readPeerKeys({ certificate, key, authority }: PeerFiles): Promise<PeerTls> {
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
