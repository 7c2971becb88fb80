import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { isDeepStrictEqual } from 'node:util';
import { startTrial } from '@wisterialift/bench';
import type { Trial, TrialProxy } from '@wisterialift/bench';
import { createPeerClient } from '@wisterialift/peer';
import { createConnection } from 'mysql2/promise';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { waitUntil } from './lib/workload';

const GROUP = 'archivio-luci-1';
const KEYS = join('packages', 'peer', 'src', 'test', 'keys');
const PARTS = ['authority', 'certificate', 'key'] as const;
const TEST_TIMEOUT_MILLISECONDS = 180_000;

type Authority = 'own' | 'foreign';

let directory: string;
let trial: Trial;

/** Puts the keys of an authority where the settings of every proxy look for them. */
function installKeys(authority: Authority): void {
  PARTS.forEach((part) => {
    copyFileSync(join(KEYS, `${authority}-${part}.pem`), keyFile(part));
  });
}

function keyFile(part: (typeof PARTS)[number]): string {
  return join(directory, `${part}.pem`);
}

beforeAll(async () => {
  directory = mkdtempSync(join(tmpdir(), 'wisterialift-keys-'));
  installKeys('own');
  const certificate = keyFile('certificate');
  const key = keyFile('key');
  trial = await startTrial({
    proxies: 2,
    groups: [GROUP],
    settings: {
      'tls.callers': { certificate, key },
      'tls.peers': { certificate, key, authority: keyFile('authority') },
    },
  });
}, TEST_TIMEOUT_MILLISECONDS);

afterAll(async () => {
  await trial.stop();
  rmSync(directory, { recursive: true, force: true });
});

/** Logs in over TLS and trusts one authority; resolves with whether the proxy was believed. */
async function isTrusted(proxy: TrialProxy, authority: Authority): Promise<boolean> {
  const { caller } = trial.options;
  try {
    const connection = await createConnection({
      host: '127.0.0.1',
      port: proxy.callersPort,
      user: caller.name,
      password: caller.password,
      database: GROUP,
      ssl: { ca: readFileSync(join(KEYS, `${authority}-authority.pem`)) },
    });
    await connection.query('SELECT 1');
    connection.destroy();
    return true;
  } catch {
    return false;
  }
}

/** Calls the instance as a peer with the keys of an authority; resolves with whether it answered. */
async function isPeer(proxy: TrialProxy, authority: Authority): Promise<boolean> {
  const read = (part: string): Buffer => readFileSync(join(KEYS, `${authority}-${part}.pem`));
  const tls = { authority: read('authority'), certificate: read('certificate'), key: read('key') };
  const peers = createPeerClient({ deadlineMilliseconds: 5_000, tls });
  try {
    await peers.ping(`127.0.0.1:${proxy.peersPort}`);
    return true;
  } catch {
    return false;
  } finally {
    peers.close();
  }
}

interface KnownAuthorities {
  callers: Authority[];
  peers: Authority[];
}

/** The authorities whose keys fit those that the instance uses, towards callers and peers. */
async function findAuthorities(proxy: TrialProxy): Promise<KnownAuthorities> {
  const known: KnownAuthorities = { callers: [], peers: [] };
  for (const authority of ['own', 'foreign'] as const) {
    if (await isTrusted(proxy, authority)) known.callers.push(authority);
    if (await isPeer(proxy, authority)) known.peers.push(authority);
  }
  return known;
}

const OWN: KnownAuthorities = { callers: ['own'], peers: ['own'] };
const FOREIGN: KnownAuthorities = { callers: ['foreign'], peers: ['foreign'] };

function sendHangUp({ program }: TrialProxy): void {
  process.kill(program().pid, 'SIGHUP');
}

describe('the keys of TLS', () => {
  it(
    'are read again on SIGHUP, and a file that cannot be used changes nothing',
    async () => {
      // An operator replaces the certificates before they run out. Instances must not be stopped
      // for it, and a half-written file must not take callers or peers away.
      const [first, second] = trial.proxies as [TrialProxy, TrialProxy];
      expect(await findAuthorities(first)).toEqual(OWN);

      writeFileSync(keyFile('key'), 'half a key');
      sendHangUp(first);
      await waitUntil('the refusal is logged', async () =>
        first
          .program()
          .lastLines()
          .some((line) => line.includes('"keysNotReplaced"')),
      );
      expect(await findAuthorities(first)).toEqual(OWN);

      installKeys('foreign');
      trial.proxies.forEach(sendHangUp);
      await waitUntil('both proxies use the other keys', async () => {
        const known = await Promise.all([first, second].map(findAuthorities));
        return known.every((authorities) => isDeepStrictEqual(authorities, FOREIGN));
      });
    },
    TEST_TIMEOUT_MILLISECONDS,
  );
});
