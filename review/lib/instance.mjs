// Starts the program of the deploy file as a process of its own, with settings of a small deployment.
import { spawn } from 'node:child_process';
import process from 'node:process';
import { performance } from 'node:perf_hooks';
import { setTimeout as pause } from 'node:timers/promises';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer, connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

export { pause };

/** Finds free ports of the loopback interface. */
export async function findFreePorts(count) {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve) => {
          const server = createServer();
          server.listen({ host: '127.0.0.1', port: 0 }, () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  for (const server of servers) server.close();
  return ports;
}

/** Settings of `lsp-registri` on one machine, as DEPLOY.md shows them. */
function createSettings({ name, ports, store, orders, isFirstStart }) {
  return [
    `node_name=${name}`,
    'role=proxy',
    'machine_class=front',
    'serves=front',
    'ip=127.0.0.1',
    'zone=zone-1',
    'region=region-1',
    'zones.zone-1=region-1',
    `listen.frontend=127.0.0.1:${ports.callers}`,
    `listen.readiness=127.0.0.1:${ports.readiness}`,
    `internal_ports=${ports.internal},${ports.internal}`,
    `bootstrap=${isFirstStart}`,
    'limits.cpu_share=0.675',
    'limits.cores=1',
    'limits.memory_mb=350',
    'limits.max_fds=4300',
    'limits.link_mbps=1000.0',
    'discovery=platform',
    'entry=vip',
    'heartbeat_ms=1200',
    'contracts=base,drain,config,cost,recover,sql,platform',
    'bounds.stable_window_ms=5000',
    'bounds.drain_ms=7000',
    'bounds.grace_s=6',
    'bounds.loss_slack_ms=200',
    'bounds.config_apply_ms=3000',
    'bounds.rollback_slack_ms=250',
    'bounds.recovery_s=12',
    'bounds.require_fencing=false',
    'bounds.thaw_slack_ms=300',
    `platform.address=${store}`,
    'platform.form=objects',
    'platform.writes_per_s=400',
    'platform.reads_per_s=2000',
    'platform.history_s=20',
    'platform.value_bytes=1048576',
    `cloud_api.address=${orders}`,
    'cloud_api.duties=failover',
    'cloud_api.duty_per_s=50.0',
    '',
  ].join('\n');
}

/** The command of the role `proxy` in deploy/system.toml. */
function readCommand() {
  const [, command] = /^run = "(.+)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'));
  return command.split(' ');
}

const isReady = (port) =>
  new Promise((resolve) => {
    const request = get(`http://127.0.0.1:${port}/v1/readyz`, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.on('error', () => resolve(false));
  });

/** Tries to start; a port that was free may have been taken since. */
const MAXIMUM_STARTS = 5;

/** Starts an instance; `lines` collects its log. */
export async function startInstance(options) {
  for (let start = 1; ; start += 1) {
    const instance = await startOnce(options);
    const isUp = await Promise.race([
      instance.ended.then(() => false),
      instance.waitUntilStarted().then(() => true),
    ]);
    if (isUp || start === MAXIMUM_STARTS) return instance;
    await instance.close();
  }
}

async function startOnce({ name, store, orders, isFirstStart = false }) {
  const [callers, readiness, internal, metrics] = await findFreePorts(4);
  const folder = mkdtempSync(join(tmpdir(), 'wisterialift-review-'));
  const path = join(folder, 'node.conf');
  const ports = { callers, readiness, internal };
  writeFileSync(path, createSettings({ name, ports, store, orders, isFirstStart }));
  const [program, ...programArguments] = readCommand();
  const { PATH, HOME, LANG } = process.env;
  const child = spawn(program, programArguments, {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: {
      PATH,
      HOME,
      ...(LANG && { LANG }),
      WISTERIALIFT_BOOT: path,
      WISTERIALIFT_METRICS_PORT: String(metrics),
    },
  });
  const lines = [];
  for (const stream of [child.stdout, child.stderr]) {
    let rest = '';
    stream.setEncoding('utf8');
    stream.on('data', (chunk) => {
      const parts = (rest + chunk).split('\n');
      rest = parts.pop();
      lines.push(...parts);
    });
  }
  const ended = new Promise((resolve) => {
    child.once('exit', (code, signal) => resolve({ code, signal, at: performance.now() }));
  });
  const killAtExit = () => child.kill('SIGKILL');
  process.once('exit', killAtExit);
  return {
    port: callers,
    lines,
    ended,
    signal: (signal) => child.kill(signal),
    waitUntilStarted: async () => {
      while (!lines.some((line) => line.includes('"event":"started"'))) await pause(20);
      await pause(50);
    },
    /** @throws Error if it is not ready in time. */
    waitUntilReady: async (milliseconds = 15_000) => {
      const until = performance.now() + milliseconds;
      while (!(await isReady(readiness))) {
        if (performance.now() > until) throw new Error(`not ready: ${lines.slice(-5).join('\n')}`);
        await pause(100);
      }
    },
    close: async () => {
      child.kill('SIGKILL');
      await ended;
      process.off('exit', killAtExit);
      rmSync(folder, { recursive: true });
    },
  };
}

/** Opens a caller's session. Each query resolves to its answer, or to `lost` if the session breaks. */
export function openSession({ port, database }) {
  return new Promise((resolve) => {
    const socket = connect({ host: '127.0.0.1', port, noDelay: true });
    let rest = '';
    let answer = { rows: [] };
    let isClosed = false;
    let settle;
    const createSession = () => ({
      socket,
      isClosed: () => isClosed,
      query: (id, text) =>
        new Promise((finish) => {
          if (isClosed) {
            finish({ rows: [], lost: true });
            return;
          }
          settle = finish;
          socket.write(`QUERY ${id} ${text}\r\n`, 'latin1');
        }),
      close: () => socket.destroy(),
    });
    settle = (started) => resolve(started.lost ? undefined : createSession());
    const readers = {
      DATAROW: (row) => answer.rows.push(row),
      COMPLETE: (signature) => Object.assign(answer, { signature }),
      ERROR: (error) => Object.assign(answer, { error }),
      READY: (state) => {
        const finished = { ...answer, state };
        answer = { rows: [] };
        settle(finished);
      },
    };
    const readLine = (line) => {
      const [word] = line.split(' ', 1);
      readers[word]?.(line.slice(word.length + 1));
    };
    socket.on('data', (chunk) => {
      const lines = (rest + chunk.toString('latin1')).split('\r\n');
      rest = lines.pop();
      lines.forEach(readLine);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      isClosed = true;
      settle({ ...answer, lost: true });
    });
    socket.write(`STARTUP ${database} reviewer\r\n`, 'latin1');
  });
}
