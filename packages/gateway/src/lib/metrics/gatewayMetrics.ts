import { createLatencyRecorder } from '@wisterialift/telemetry/latency';
import { Counter, Gauge, Registry } from 'prom-client';
import type { Gateway } from '../createGateway';
import { listBusiestTeams } from './busiestTeams';
import { registerWaitMetrics } from './waitMetrics';
import type { AnswerSample } from '../sessions/callerSession';

/** Answer counters, latency quantiles and session count of one instance. @public */
export interface GatewayMetrics {
  record: (sample: AnswerSample) => void;
  /** Renders the metrics in the Prometheus text format. */
  render: () => Promise<string>;
}

/** Help texts of the counters of a group. */
const GROUP_COUNTERS = {
  probes: 'questions to members that no caller asked for',
  retries: 'tries of statements after the first',
  refusals: 'statements refused by this instance',
  promotions: 'orders to promote a member',
  relayed: 'statements that another instance ran for callers of this one',
  refusedBesideIdle: 'reads refused while a member could have run them at once',
  replicaReads: 'reads outside of transactions that a replica answered',
  primaryReads: 'reads outside of transactions that the primary answered',
  sentToLeaving: 'statements sent to a member that leaves',
  unconfirmedAlone:
    'statements of groups of one member that an old list of members left unconfirmed',
} as const;

/** Number of calls to the platform's store for one purpose. @public */
export interface StoreCallCount {
  purpose: string;
  /** Whether the calls accepted stale data. */
  mayBeStale: boolean;
  count: number;
}

/** Creates the Prometheus metrics of a gateway. @public */
export function createGatewayMetrics(
  gateway: Gateway,
  { getStoreCalls }: { getStoreCalls: () => StoreCallCount[] },
): GatewayMetrics {
  const registry = new Registry();
  const registers = [registry];
  const latencies = createLatencyRecorder();
  const answers = new Counter({
    name: 'wisterialift_answers_total',
    help: 'answers to statements of callers',
    labelNames: ['group', 'kind', 'statement', 'outcome'],
    registers,
  });
  const latency = new Gauge({
    name: 'wisterialift_answer_milliseconds',
    help: 'time from a statement to its answer',
    labelNames: ['group', 'kind', 'statement', 'quantile'],
    registers,
    collect: () => collectLatencies(),
  });
  const sessions: Gauge = new Gauge({
    name: 'wisterialift_sessions',
    help: 'sessions of callers',
    registers,
    collect: () => {
      sessions.set(gateway.countSessions());
    },
  });
  for (const name of Object.keys(GROUP_COUNTERS) as (keyof typeof GROUP_COUNTERS)[]) {
    const gauge = new Gauge({
      name: `wisterialift_${name}_total`,
      help: GROUP_COUNTERS[name],
      labelNames: ['group'],
      registers,
      collect: () => {
        for (const [group, counters] of Object.entries(gateway.getCounters())) {
          gauge.set({ group }, counters[name]);
        }
      },
    });
  }

  const teamOperations: Gauge = new Gauge({
    name: 'wisterialift_team_operations_total',
    help: 'operations that the limits of teams admitted or refused, of the busiest teams and all others',
    labelNames: ['team', 'outcome'],
    registers,
    collect: () => {
      teamOperations.reset();
      for (const { team, admitted, refused } of listBusiestTeams(gateway.getLimitCounters())) {
        teamOperations.set({ team, outcome: 'admitted' }, admitted);
        teamOperations.set({ team, outcome: 'refused' }, refused);
      }
    },
  });

  registerWaitMetrics(registry, gateway.getWaitStatistics);

  const storeCalls: Gauge = new Gauge({
    name: 'wisterialift_store_calls_total',
    help: 'calls to the object store of the platform',
    labelNames: ['purpose', 'stale'],
    registers,
    collect: () => {
      for (const { purpose, mayBeStale, count } of getStoreCalls()) {
        storeCalls.set({ purpose, stale: String(mayBeStale) }, count);
      }
    },
  });

  function collectLatencies(): void {
    for (const summary of latencies.summaries()) {
      const { group, kind, access: statement, p50Milliseconds, p99Milliseconds } = summary;
      latency.set({ group, kind, statement, quantile: '0.5' }, p50Milliseconds);
      latency.set({ group, kind, statement, quantile: '0.99' }, p99Milliseconds);
    }
  }

  return {
    record: ({ route, type, outcome, milliseconds }) => {
      const group = route?.group ?? 'none';
      const kind = route?.consistency ?? 'none';
      answers.inc({ group, kind, statement: type, outcome });
      latencies.record({ group, kind, access: type }, milliseconds);
    },
    render: () => registry.metrics(),
  };
}
