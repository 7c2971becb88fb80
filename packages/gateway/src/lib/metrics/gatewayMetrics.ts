import { createLatencyRecorder } from '@wisterialift/telemetry/latency';
import { Counter, Gauge, Registry } from 'prom-client';
import type { Gateway } from '../createGateway';
import type { MemberFailureCounts } from '../groups/failureEjection';
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
  preparations: 'statements prepared on connections to members',
  retries: 'tries of statements after the first',
  refusals: 'statements refused by this instance',
  promotions: 'orders to promote a member',
  relayed: 'statements that another instance ran for callers of this one',
  refusedBesideIdle: 'reads refused while a member could have run them at once',
  replicaReads: 'reads outside of transactions that a replica answered',
  primaryReads: 'reads outside of transactions that the primary answered',
  positionsFound: 'read positions found without the primary',
  positionsNotFound:
    'searches for a read position without the primary that too few members answered',
  refusedAtFirstInstance: 'statements refused on behalf of a holder without capacity',
  returnCreditsGiven: 'return credits given to refused statements',
  returnCreditsUsed: 'statements ordered by the arrival of a refused one',
  sentToLeaving: 'statements sent to a member that leaves',
  unconfirmedAlone:
    'statements of groups of one member that an old list of members left unconfirmed',
  sentToPrimaryHolder:
    "statements that only the primary can run, sent to the holder in the primary's data centre",
  sentToNearHolder: 'statements that only the primary can run and that took the usual path',
} as const;

/** Metrics of members where failing ones are ejected; no values elsewhere. */
const MEMBER_FAILURE_METRICS: {
  name: string;
  help: string;
  read: (counts: MemberFailureCounts) => number;
}[] = [
  {
    name: 'failure_rate',
    help: 'part of the latest runs at the member that failed',
    read: ({ failureRate }) => failureRate,
  },
  {
    name: 'ejected',
    help: 'whether this instance keeps reads away from the member',
    read: ({ isEjected }) => (isEjected ? 1 : 0),
  },
  {
    name: 'ejections_total',
    help: 'ejections of the member because it failed statements',
    read: ({ ejections }) => ejections,
  },
  {
    name: 'repeated_reads_total',
    help: 'reads that failed at the member and were repeated at another one',
    read: ({ repeatedReads }) => repeatedReads,
  },
  {
    name: 'repeat_budget_exhausted_total',
    help: 'reads that failed at the member and were not repeated because the budget was spent',
    read: ({ budgetExhausted }) => budgetExhausted,
  },
  {
    name: 'last_resort_reads_total',
    help: 'reads sent to the member during its ejection because no other member could run them',
    read: ({ lastResortReads }) => lastResortReads,
  },
];

/** Gauges of the adaptive concurrency limits, by member; without values where it is disabled. */
const CONCURRENCY_GAUGES = {
  limit: {
    name: 'wisterialift_member_concurrency_limit',
    help: 'statements that this instance runs at a member at the same time',
  },
  queueDelayMilliseconds: {
    name: 'wisterialift_member_queue_delay_milliseconds',
    help: 'delay of each statement in the queue of a member',
  },
  busyAnswers: {
    name: 'wisterialift_member_busy_total',
    help: 'statements that a member refused because its queue was full',
  },
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

  const connections: Gauge = new Gauge({
    name: 'wisterialift_connections_total',
    help: 'connections to members that this instance opened and closed, by cause',
    labelNames: ['group', 'member', 'event', 'cause'],
    registers,
    collect: () => {
      connections.reset();
      for (const [group, counts] of Object.entries(gateway.getConnectionCounts())) {
        for (const { memberId: member, event, cause, count } of counts) {
          connections.set({ group, member, event, cause }, count);
        }
      }
    },
  });

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

  for (const { name, help, read } of MEMBER_FAILURE_METRICS) {
    const gauge: Gauge = new Gauge({
      name: `wisterialift_member_${name}`,
      help,
      labelNames: ['group', 'member'],
      registers,
      collect: () => {
        gauge.reset();
        for (const [group, members] of Object.entries(gateway.listMemberFailures())) {
          for (const counts of members) gauge.set({ group, member: counts.memberId }, read(counts));
        }
      },
    });
  }

  for (const name of Object.keys(CONCURRENCY_GAUGES) as (keyof typeof CONCURRENCY_GAUGES)[]) {
    const gauge: Gauge = new Gauge({
      ...CONCURRENCY_GAUGES[name],
      labelNames: ['group', 'member'],
      registers,
      collect: () => {
        gauge.reset();
        for (const [group, reports] of Object.entries(gateway.reportConcurrency())) {
          for (const { memberId: member, [name]: value } of reports) {
            if (value !== undefined) gauge.set({ group, member }, value);
          }
        }
      },
    });
  }

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
