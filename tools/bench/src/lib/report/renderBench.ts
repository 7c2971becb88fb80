import { availableParallelism, loadavg } from 'node:os';
import type { LatencyComparison } from '../phases/measureLatency';
import type { LoadLevel } from '../phases/measureOverload';
import type { ReplicaReadResult } from '../phases/measureReplicaReads';
import type { BenchResult } from './benchResult';
import { sumViolations } from '../load/createOracle';

/** A measure, its figure, and the baseline that it stands against. */
interface Row {
  measure: string;
  figure: string;
  baseline: string;
}

/** Writes the figures of a run as a table. */
export function renderBench(result: BenchResult): string {
  const rows: Row[] = [
    { measure: 'measure', figure: 'by way of proxies', baseline: 'baseline' },
    ...latencyRows(result),
    ...throughputRows(result),
    ...readRows('history reads', result.reads),
    ...readRows('history reads, one replica far behind', result.readsUnderLag),
    ...overloadRows(result),
    ...failoverRows(result),
    {
      measure: 'violations',
      figure: String(sumViolations(result.violations)),
      baseline: JSON.stringify(result.outcomes),
    },
  ];
  const widths = [
    Math.max(...rows.map(({ measure }) => measure.length)),
    Math.max(...rows.map(({ figure }) => figure.length)),
  ] as const;
  const lines = rows.map(
    ({ measure, figure, baseline }) =>
      `${measure.padEnd(widths[0])}  ${figure.padEnd(widths[1])}  ${baseline}`,
  );
  const failures = result.failures.map((failure) => `not measured: ${failure}`);
  const load = loadavg()
    .map((value) => value.toFixed(1))
    .join(' ');
  const machine = `load average ${load} on ${availableParallelism()} processors`;
  return [`${result.title} (${machine})`, ...lines, ...failures, ''].join('\n');
}

function latencyRows({ latency }: BenchResult): Row[] {
  if (!latency) return [];
  return [latency.lookup, latency.history, latency.write].map((comparison) => ({
    measure: `${comparison.statement}, p50`,
    figure: describeLatency(comparison),
    baseline: `${milliseconds(comparison.directP50)} direct, not confirmed`,
  }));
}

function describeLatency({ proxyP50, proxyP99, addedP50 }: LatencyComparison): string {
  return `${milliseconds(proxyP50)} (added ${milliseconds(addedP50)}, p99 ${milliseconds(proxyP99)})`;
}

function throughputRows({ throughput }: BenchResult): Row[] {
  if (!throughput) return [];
  const { proxies, direct, primaryOnly, ratioToDirect } = throughput;
  return [
    {
      measure: 'reads a second',
      figure: `${proxies.toFixed(0)} (ratio to direct ${ratioToDirect.toFixed(3)})`,
      baseline: `${direct.toFixed(0)} direct over all members, ${primaryOnly.toFixed(0)} all at the primary`,
    },
  ];
}

function readRows(measure: string, reads: ReplicaReadResult | undefined): Row[] {
  if (!reads) return [];
  return [
    {
      measure: `${measure}, share at replicas`,
      figure: `${reads.share.toFixed(3)} (p50 ${milliseconds(reads.readP50)}, p99 ${milliseconds(reads.readP99)})`,
      baseline: `0 with all reads at the primary; ${reads.reads} reads, ${reads.writes} writes, ${reads.failures} failures`,
    },
  ];
}

function overloadRows({ overload }: BenchResult): Row[] {
  if (!overload) return [];
  return [
    {
      measure: 'goodput at twice the capacity',
      figure: `${overload.atTwice.goodput.toFixed(0)}/s (ratio ${overload.goodputRatio.toFixed(3)}) ${describeLoad(overload.atTwice)}`,
      baseline: `${overload.atCapacity.goodput.toFixed(0)}/s at capacity ${describeLoad(overload.atCapacity)}`,
    },
  ];
}

function describeLoad({ offered, refused, late, refusalP99 }: LoadLevel): string {
  return `offered ${offered.toFixed(0)}/s, refused ${refused} (p99 ${milliseconds(refusalP99)}), late ${late}`;
}

function failoverRows({ failover, falsePromotions, violations }: BenchResult): Row[] {
  const rows: Row[] = [];
  if (failover) {
    rows.push({
      measure: 'failover gap, p50 and p99',
      figure: `${milliseconds(failover.gapP50)} and ${milliseconds(failover.gapP99)}`,
      baseline: `endless without a promotion; ${failover.gaps} gaps in ${failover.rounds} rounds, ${failover.unfinished} unfinished, longest ${JSON.stringify(failover.longestByFault)}, in flight without answer 1 s later ${JSON.stringify(failover.unanswered)}`,
    });
  }
  if (failover && failover.unconfirmed.acknowledged > 0) {
    const { acknowledged, lost } = failover.unconfirmed;
    rows.push({
      measure: 'acknowledged writes lost with a cut primary',
      figure: String(violations.lost),
      baseline: `${lost} of ${acknowledged} without confirmation`,
    });
  }
  if (falsePromotions) {
    rows.push({
      measure: 'false promotions under loss',
      figure: String(falsePromotions.promotions),
      baseline: `${falsePromotions.loss * 100}% loss, ${falsePromotions.seconds.toFixed(0)} s, ${falsePromotions.writes} writes`,
    });
  }
  return rows;
}

function milliseconds(value: number | null): string {
  return value === null ? 'none' : `${value.toFixed(2)} ms`;
}
