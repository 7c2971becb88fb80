import type { ServiceLevel } from '@wisterialift/schema';
import { createBurnCounters, createLatencyRecorder } from '@wisterialift/telemetry';
import type { BurnSeries, LatencySummary } from '@wisterialift/telemetry';
import type { RequestObservation } from '../statements/caller/callerTypes';

/** Collects the metrics for the burn report and the latency summaries. @internal */
export interface RequestMetrics {
  observe: (observation: RequestObservation) => void;
  setServiceLevels: (levels: readonly ServiceLevel[]) => void;
  burnSeries: () => BurnSeries[];
  latencies: () => LatencySummary[];
}

/** @internal */
export function createRequestMetrics(): RequestMetrics {
  const counters = createBurnCounters();
  const recorder = createLatencyRecorder();

  function observe(observation: RequestObservation): void {
    const { group, kind, access, status, latencyMilliseconds } = observation;
    recorder.record({ group, kind, access }, latencyMilliseconds);
    counters.record(
      { group, kind, isSuccessful: status === 'done', latencyMilliseconds },
      Date.now(),
    );
  }

  return {
    observe,
    setServiceLevels: counters.setServiceLevels,
    burnSeries: () => counters.series(Date.now()),
    latencies: recorder.summaries,
  };
}
