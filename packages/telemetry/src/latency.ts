export { createLatencyRecorder } from './lib/latency/latencyRecorder';
export type { LatencyRecorder, LatencySeries, LatencySummary } from './lib/latency/latencyRecorder';
