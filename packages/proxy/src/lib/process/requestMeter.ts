import type { ServiceLevel } from '@wisterialift/schema';
import { createBurnCounters, createLatencyRecorder } from '@wisterialift/telemetry';
import type { BurnSeries, LatencySummary } from '@wisterialift/telemetry';
import type { RequestObservation } from '../statements/caller/callerTypes';

/** Measures every request for the burn report and the latency summaries. @internal */
export interface RequestMeter {
  observe: (observation: RequestObservation) => void;
  setLevels: (levels: readonly ServiceLevel[]) => void;
  burnSeries: () => BurnSeries[];
  latencies: () => LatencySummary[];
}

/** @internal */
export function createRequestMeter(): RequestMeter {
  const counters = createBurnCounters();
  const recorder = createLatencyRecorder();

  function observe(observation: RequestObservation): void {
    const { group, kind, access, status, latencyMilliseconds } = observation;
    recorder.record({ group, kind, access }, latencyMilliseconds);
    counters.record(
      { group, kind, isAnswered: status === 'done', latencyMilliseconds },
      Date.now(),
    );
  }

  return {
    observe,
    setLevels: counters.setLevels,
    burnSeries: () => counters.series(Date.now()),
    latencies: recorder.summaries,
  };
}
