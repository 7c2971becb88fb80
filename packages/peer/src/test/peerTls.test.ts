import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { PeerError, PeerUnavailableError, createPeerClient, createPeerServer } from '..';
import type { PeerClient, PeerServer, PeerTls } from '..';

/** Reads the keys of one authority; they are made for these tests alone. */
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
  it('admits a peer with a certificate of the authority', async () => {
    expect(await ping(readKeys('own'))).toMatchObject({ instance: 'p2' });
  });

  /*
   * Someone on the network announces a configuration of their own making. Without a certificate of
   * the authority they must not get as far as a call.
   */
  it('refuses a caller with a certificate of another authority, and one without any', async () => {
    const foreign = { ...readKeys('foreign'), authority: readKeys('own').authority };
    await expect(ping(foreign)).rejects.toThrow(PeerUnavailableError);
    peers?.close();
    await expect(ping(undefined)).rejects.toThrow(PeerUnavailableError);
  });

  it('does not speak to a listener of another authority', async () => {
    const { authority } = readKeys('foreign');
    await expect(ping({ ...readKeys('own'), authority })).rejects.toThrow(PeerUnavailableError);
  });

  /*
   * The certificates of a fleet run out and are replaced in its files. If an instance had to be started
   * again for it, every caller would have to connect anew.
   */
  it('uses other keys once they are replaced, without a new start', async () => {
    expect(await ping(readKeys('own'))).toMatchObject({ instance: 'p2' });
    server.replaceKeys(readKeys('foreign'));
    expect(await peers!.ping(address)).toMatchObject({ instance: 'p2' });
    peers!.replaceKeys(readKeys('foreign'));
    expect(await peers!.ping(address)).toMatchObject({ instance: 'p2' });
    peers!.close();
    await expect(ping(readKeys('own'))).rejects.toThrow(PeerUnavailableError);
  });

  /*
   * The file of the certificate was replaced and that of its key not yet. Taken as they are, the two
   * would cut the instance off from all others.
   */
  it('keeps its keys when those that should replace them do not fit each other', async () => {
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
