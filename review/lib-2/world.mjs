// A small deployment: instances as processes of the deploy file, all else as stand-ins on loopback.
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearInterval, setInterval } from 'node:timers';
import { spawn } from 'node:child_process';
import { randomInt } from 'node:crypto';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer as createHttpServer } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { createDatabases, serveDatabase } from './databases.mjs';
import { createNetwork } from './network.mjs';
import { createStore, serveStore } from './store.mjs';

const ROOT = resolve(import.meta.dirname, '../..');

const HEARTBEAT_MILLISECONDS = 1_200;
const MISSED_HEARTBEATS = 3;

/** Each zone is a region of its own. */
const REGIONS = { 'sesto-dc': 'lomb-nord', 'mestre-dc': 'triveneto', 'modena-dc': 'emilia-rom' };

/** Part of the loopback addresses of the instances, so that runs at the same time do not meet. */
const RUN_NETWORK = `${randomInt(1, 255)}.${randomInt(0, 256)}`;

const zoneOf = (place) => place.split('/')[0];

/** Words of the `run` line of the deploy file. */
function readCommand() {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "(.+)"$/m.exec(text)[1].split(' ');
}

async function findFreePorts(host, count) {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((settle) => {
          const server = createServer();
          server.listen({ host, port: 0 }, () => settle(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((settle) => {
          server.close(settle);
        }),
    ),
  );
  return ports;
}

/**
 * Starts the deployment.
 *
 * @param options.places - names of the zones. The platform is in the first.
 * @param options.members - `id` and `place` of each database; the first one is the primary.
 * @param options.instances - `name` and `place` of each instance.
 * @param options.routes - routes of the configuration, without their service.
 */
export async function startWorld({
  places,
  members,
  instances,
  routes,
  record,
  seconds,
  ...options
}) {
  const { syncReplicas = 0 } = options;
  const service = 'huvo11a';
  const [platformPlace] = places;
  const network = createNetwork();
  const store = createStore();
  const group = createDatabases({ service, members, network, record, seconds, syncReplicas });
  const folder = mkdtempSync(join(tmpdir(), 'wisterialift-review-'));
  const closers = [];
  const processes = [];

  store.put('config', 'main', {
    version: 7,
    routes: routes.map((route) => ({ ...route, service })),
    services: [{ name: service, max_conns: 33, sync_replicas: syncReplicas }],
    limits: { tx_idle_ms: 3_000 },
  });

  // Databases report themselves while they reach the store; their entries lapse afterwards.
  const lastBeats = new Map();
  const born = Date.now();
  const leaving = new Set();
  function beat(database) {
    if (!network.reaches(database.place, platformPlace)) return;
    lastBeats.set(database.id, performance.now());
    store.put('servers', database.id, {
      service,
      address: database.id,
      zone: zoneOf(database.place),
      version: 'v1',
      slots: 5,
      state: leaving.has(database.id) ? 'draining' : 'ready',
      warmup_left_ms: 0,
      db_role: database.role,
      born,
    });
  }
  function expire() {
    for (const [id, at] of lastBeats) {
      if (performance.now() - at < MISSED_HEARTBEATS * HEARTBEAT_MILLISECONDS) continue;
      lastBeats.delete(id);
      record(`the store removes the entry of ${id}`);
      store.remove('servers', id);
    }
  }
  group.databases.forEach(beat);
  group.onRoleChange(beat);
  const beatTimers = group.databases.map((database) =>
    setInterval(() => beat(database), HEARTBEAT_MILLISECONDS),
  );
  const expiryTimer = setInterval(expire, 50);

  async function serveOrders(place, name) {
    const server = createHttpServer((request, response) => {
      let text = '';
      request.on('data', (chunk) => {
        text += chunk.toString('utf8');
      });
      request.on('end', () => {
        if (!network.reaches(place, platformPlace)) return;
        const { id } = JSON.parse(text);
        const token = request.headers['x-fencing-token'];
        record(`${name} orders the promotion of ${id} with token ${token}`);
        response.writeHead(group.promote(id, platformPlace) ? 200 : 409);
        response.end();
      });
    });
    await new Promise((settle) => {
      server.listen({ host: '127.0.0.1', port: 0 }, settle);
    });
    closers.push(() => {
      server.close();
      server.closeAllConnections();
    });
    return `127.0.0.1:${server.address().port}`;
  }

  async function startInstance({ name, place }, index) {
    const addresses = new Map();
    for (const database of group.databases) {
      const link = network.createLink(place, database.place);
      const served = await serveDatabase({ group, database, link, from: name });
      addresses.set(database.id, served.address);
      closers.push(served.close);
    }
    const translate = (kind, spec) =>
      kind === 'servers' ? { ...spec, address: addresses.get(spec.address) } : spec;
    const link = network.createLink(place, platformPlace);
    const onWrite = (kind, { meta, spec }) =>
      record(`${name} writes ${kind}/${meta.name} ${JSON.stringify(spec)}`);
    const storeServer = await serveStore({ store, link, translate, onWrite });
    closers.push(storeServer.close);
    const orders = await serveOrders(place, name);
    const host = `127.${RUN_NETWORK}.${index + 1}`;
    const [frontend, readiness, control, relay, metrics] = await findFreePorts(host, 5);
    const path = join(folder, `${name}.conf`);
    const lines = [
      `node_name=${name}`,
      'role=proxy',
      'machine_class=front',
      'serves=front',
      `ip=${host}`,
      `zone=${place}`,
      `region=${REGIONS[place]}`,
      ...places.map((zone) => `zones.${zone}=${REGIONS[zone]}`),
      `listen.frontend=${host}:${frontend}`,
      `listen.readiness=${host}:${readiness}`,
      `listen.control=${host}:${control}`,
      `internal_ports=${relay},${relay}`,
      'bootstrap=true',
      'limits.cpu_share=0.675',
      'limits.cores=1',
      'limits.memory_mb=350',
      'discovery=platform',
      `heartbeat_ms=${HEARTBEAT_MILLISECONDS}`,
      'contracts=base,drain,config,cost,recover,sql,platform',
      'bounds.stable_window_ms=5000',
      'bounds.drain_ms=7000',
      'bounds.grace_s=6',
      'bounds.config_apply_ms=3000',
      `platform.address=${storeServer.address}`,
      'platform.form=objects',
      `cloud_api.address=${orders}`,
      'cloud_api.duties=failover',
      '',
    ];
    writeFileSync(path, lines.join('\n'));
    const [command, ...words] = readCommand();
    const { PATH, HOME, LANG = 'C' } = process.env;
    const child = spawn(command, words, {
      cwd: ROOT,
      env: {
        PATH,
        HOME,
        LANG,
        WISTERIALIFT_BOOT: path,
        WISTERIALIFT_METRICS_PORT: String(metrics),
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = [];
    child.stdout.on('data', (chunk) => log.push(chunk));
    child.stderr.on('data', (chunk) => log.push(chunk));
    child.on('exit', (code, signal) => record(`${name} ends: ${code ?? signal}`));
    processes.push(child);
    record(`${name} starts in ${place}, process ${index + 1}`);
    return {
      name,
      place,
      host,
      port: frontend,
      child,
      readLog: () => Buffer.concat(log).toString(),
    };
  }

  const started = [];
  for (const [index, instance] of instances.entries()) {
    started.push(await startInstance(instance, index));
  }

  // Also after a signal: no instance outlives the run.
  process.on('exit', () => {
    for (const child of processes) child.kill('SIGKILL');
  });

  return {
    network,
    store,
    group,
    /** Announces the planned shutdown of a database, which goes on serving for `drain_ms` and longer. */
    announceShutdown: (id) => {
      record(`database ${id} reports that it is draining`);
      leaving.add(id);
      beat(group.find(id));
    },
    instances: started,
    find: (name) => started.find((instance) => instance.name === name),
    close: async () => {
      const ends = processes
        .filter(({ exitCode, signalCode }) => exitCode === null && signalCode === null)
        .map(
          (child) =>
            new Promise((settle) => {
              child.once('exit', settle);
              child.kill('SIGKILL');
            }),
        );
      await Promise.all(ends);
      beatTimers.forEach(clearInterval);
      clearInterval(expiryTimer);
      group.close();
      closers.forEach((close) => close());
      rmSync(folder, { recursive: true, force: true });
    },
  };
}
