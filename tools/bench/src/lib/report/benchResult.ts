import type { Violations } from '../load/createOracle';
import { sumViolations } from '../load/createOracle';
import type { FailoverResult } from '../phases/measureFailover';
import type { FalsePromotionResult } from '../phases/measureFalsePromotions';
import type { LatencyResult } from '../phases/measureLatency';
import type { OverloadResult } from '../phases/measureOverload';
import type { ReplicaReadResult } from '../phases/measureReplicaReads';
import type { ThroughputResult } from '../phases/measureThroughput';

/** Everything that one bench run measured; a phase that did not run is absent. */
export interface BenchResult {
  title: string;
  latency?: LatencyResult;
  throughput?: ThroughputResult;
  reads?: ReplicaReadResult;
  readsUnderLag?: ReplicaReadResult;
  overload?: OverloadResult;
  failover?: FailoverResult;
  falsePromotions?: FalsePromotionResult;
  violations: Violations;
  outcomes: Record<string, number>;
  /** Phases that failed, with the reason. */
  failures: string[];
}

/** The figures that `--json` prints; null where the phase did not give one. */
export interface BenchSummary {
  replicaReadShare: number | null;
  replicaReadShareUnderLag: number | null;
  failoverGapP50Milliseconds: number | null;
  failoverGapP99Milliseconds: number | null;
  addedLatencyP50Milliseconds: number | null;
  throughputRatioToDirect: number | null;
  overloadGoodputRatio: number | null;
  violations: number;
}

/** Takes the figures out of a run. */
export function summariseBench(result: BenchResult): BenchSummary {
  return {
    replicaReadShare: round(result.reads?.share),
    replicaReadShareUnderLag: round(result.readsUnderLag?.share),
    failoverGapP50Milliseconds: round(result.failover?.gapP50),
    failoverGapP99Milliseconds: round(result.failover?.gapP99),
    addedLatencyP50Milliseconds: round(result.latency?.lookup.addedP50),
    throughputRatioToDirect: round(result.throughput?.ratioToDirect),
    overloadGoodputRatio: round(result.overload?.goodputRatio),
    violations: sumViolations(result.violations),
  };
}

function round(value: number | null | undefined): number | null {
  if (value === null || value === undefined || !Number.isFinite(value)) return null;
  return Math.round(value * 1_000) / 1_000;
}
