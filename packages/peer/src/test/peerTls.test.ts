import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { PeerError, PeerUnavailableError, createPeerClient, createPeerServer } from '..';
import type { PeerClient, PeerServer, PeerTls } from '..';

/** Reads the test keys of one authority. */
function readKeys(authority: 'own' | 'foreign'): PeerTls {
  const read = (part: string): Buffer =>
    readFileSync(join(import.meta.dirname, 'keys', `${authority}-${part}.pem`));
  return { certificate: read('certificate'), key: read('key'), authority: read('authority') };
}

let server: PeerServer;
let address: string;
let peers: PeerClient | undefined;

beforeEach(async () => {
  server = createPeerServer({
    host: '127.0.0.1',
    port: 0,
    tls: readKeys('own'),
    handlers: {
      onConfigurationAnnounced: () => 0,
      onConfigurationRequested: () => ({
        configurationObject: undefined,
        ageMilliseconds: Infinity,
      }),
      onInstancesRequested: () => ({ instances: [], ageMilliseconds: Infinity }),
      onPrimaryPublished: () => {},
      onLeavingAnnounced: () => {},
      onPing: () => ({ instance: 'p2', configurationNumber: 3 }),
    },
  });
  address = `127.0.0.1:${await server.start()}`;
});

afterEach(async () => {
  peers?.close();
  await server.stop();
});

function ping(tls: PeerTls | undefined): Promise<unknown> {
  peers = createPeerClient({ deadlineMilliseconds: 5_000, tls });
  return peers.ping(address);
}

describe('mutual TLS between instances', () => {
  it('accepts a client with a certificate of the authority', async () => {
    expect(await ping(readKeys('own'))).toMatchObject({ instance: 'p2' });
  });

  // Guards against forged configurations from clients without a certificate of the authority.
  it('rejects a client with a certificate of another authority, and one without any', async () => {
    const foreign = { ...readKeys('foreign'), authority: readKeys('own').authority };
    await expect(ping(foreign)).rejects.toThrow(PeerUnavailableError);
    peers?.close();
    await expect(ping(undefined)).rejects.toThrow(PeerUnavailableError);
  });

  it('rejects a server of another authority', async () => {
    const { authority } = readKeys('foreign');
    await expect(ping({ ...readKeys('own'), authority })).rejects.toThrow(PeerUnavailableError);
  });

  // Guards against restarts, which disconnect callers, when certificates are renewed.
  it('uses replaced keys without a restart', async () => {
    expect(await ping(readKeys('own'))).toMatchObject({ instance: 'p2' });
    server.replaceKeys(readKeys('foreign'));
    expect(await peers!.ping(address)).toMatchObject({ instance: 'p2' });
    peers!.replaceKeys(readKeys('foreign'));
    expect(await peers!.ping(address)).toMatchObject({ instance: 'p2' });
    peers!.close();
    await expect(ping(readKeys('own'))).rejects.toThrow(PeerUnavailableError);
  });

  // Guards against losing all connections when only one of the two key files has been replaced.
  it('keeps its keys if the new certificate and key do not match', async () => {
    const halfWritten = { ...readKeys('own'), key: readKeys('foreign').key };
    expect(() => createPeerClient({ deadlineMilliseconds: 1, tls: halfWritten })).toThrow(
      PeerError,
    );
    expect(() => server.replaceKeys(halfWritten)).toThrow(PeerError);
    expect(await ping(readKeys('own'))).toMatchObject({ instance: 'p2' });
    expect(() => peers!.replaceKeys(halfWritten)).toThrow(PeerError);
    expect(await peers!.ping(address)).toMatchObject({ instance: 'p2' });
  });
});
