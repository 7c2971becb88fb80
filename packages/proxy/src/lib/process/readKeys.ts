import { readFile } from 'node:fs/promises';
import type { CallerTls } from '@wisterialift/mysql';
import type { PeerTls } from '@wisterialift/peer';
import type { Settings } from '@wisterialift/schema';
import { TlsFileError } from './tlsFileError';

/** The keys that the settings name; absent where they name none. @public */
export interface ProxyKeys {
  callers?: CallerTls;
  peers?: PeerTls;
}

/**
 * Reads every file of keys and certificates.
 *
 * @throws TlsFileError that names the setting whose file cannot be read.
 * @internal
 */
export async function readKeys({ tls }: Settings): Promise<ProxyKeys> {
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
