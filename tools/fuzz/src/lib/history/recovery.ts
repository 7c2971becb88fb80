import { describeGroup } from '../oracle/oracle';
import type { FakeProxy } from '../fakes/fakeProxy';
import { endOf } from '../fakes/memberLog';
import type { Cluster } from './cluster';
import { PROXIES } from './historyPlan';
import { startSession } from './sessions';

/** @public */
export interface RecoveryOptions {
  cluster: Cluster;
  /** The history goes on at least until then, for messages that were parked at a cut link. */
  settledAt: number;
  /** When writes and reads have to flow again through every proxy. */
  latestAt: number;
}

const PROBE_MILLISECONDS = 150;
const PROBE_DEADLINE_MILLISECONDS = 1_500;
const STEP_MILLISECONDS = 100;

/**
 * Lets a healed cluster recover: probes every proxy with writes and reads until they are answered,
 * every request has its answer and the members hold the same log.
 *
 * @returns milliseconds until every proxy had a write acknowledged; undefined if one never had.
 * @public
 */
export function awaitRecovery(options: RecoveryOptions): number | undefined {
  const { cluster, settledAt, latestAt } = options;
  const { scheduler, oracle, proxies, databases } = cluster;
  const writing = new Set<number>();
  const reading = new Set<number>();
  const startedAt = scheduler.now();
  let nextProbeAt = startedAt;
  let probes = 0;
  let resumedAfter: number | undefined;

  const isOver = () =>
    scheduler.now() >= settledAt &&
    writing.size === PROXIES &&
    reading.size === PROXIES &&
    proxies.every((proxy) => proxy.openRequests().length === 0) &&
    isConverged(cluster);

  const probeAll = () => {
    if (scheduler.now() < nextProbeAt) return;
    nextProbeAt += PROBE_MILLISECONDS;
    probes += 1;
    for (let place = 0; place < PROXIES; place += 1) {
      if (!writing.has(place)) {
        probe({ ...options, place, kind: 'write', flowing: writing, probes });
      }
      if (!reading.has(place)) probe({ ...options, place, kind: 'read', flowing: reading, probes });
    }
  };

  while (scheduler.now() < latestAt && !isOver()) {
    probeAll();
    scheduler.runUntil(scheduler.now() + STEP_MILLISECONDS);
    if (writing.size === PROXIES) resumedAfter ??= scheduler.now() - startedAt;
  }
  if (writing.size < PROXIES) {
    oracle.report('writesStopped', `proxies ${[...writing].join(' ')} of ${PROXIES} write again`);
  }
  if (reading.size < PROXIES) {
    oracle.report('readsStopped', `proxies ${[...reading].join(' ')} of ${PROXIES} read again`);
  }
  if (!isConverged(cluster)) oracle.report('groupNotConverged', describeGroup(databases));
  return resumedAfter;
}

interface Probe extends RecoveryOptions {
  place: number;
  kind: 'write' | 'read';
  /** Places whose proxy has answered such a probe. */
  flowing: Set<number>;
  /** Number of the round of probes. */
  probes: number;
}

/** Sends one request through the proxy at a place, as a session of its own. */
function probe({ cluster, latestAt, place, kind, flowing, probes }: Probe): void {
  const noteFlow = (proxy: FakeProxy): FakeProxy => ({
    ...proxy,
    submit: (request) =>
      proxy.submit({
        ...request,
        onAnswer: (answer) => {
          if (answer.outcome.status === 'done') flowing.add(place);
          request.onAnswer(answer);
        },
      }),
  });
  startSession({
    ...cluster,
    name: `${kind}-probe-${place}-${probes}`,
    plan: {
      carriesToken: false,
      startMilliseconds: 0,
      operations: [{ kind, pauseMilliseconds: 0, proxy: place, isConcurrent: false }],
    },
    deadlineMilliseconds: PROBE_DEADLINE_MILLISECONDS,
    stalenessMilliseconds: 0,
    until: latestAt,
    findProxy: (asked) => noteFlow(cluster.proxies[asked]!),
  });
}

/** Whether every member holds the log of the one primary. */
function isConverged({ databases }: Cluster): boolean {
  const primary = databases.find(({ isPrimary }) => isPrimary());
  if (!primary) return false;
  const end = endOf(primary.log());
  return databases.every(({ status, log }) => {
    const { currentTerm, logEnd } = status();
    const isSameTerm = currentTerm === primary.status().currentTerm;
    return isSameTerm && logEnd.index === end.index && log().at(-1) === primary.log().at(-1);
  });
}
