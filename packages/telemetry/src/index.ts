export * from './log';
export * from './latency';
export { BUCKET_COUNT, BUCKET_MILLISECONDS, createBurnCounters } from './lib/burn/burnCounters';
export type {
  BurnBucket,
  BurnCounters,
  BurnSeries,
  MeasuredRequest,
} from './lib/burn/burnCounters';
export { BURN_WINDOWS_MINUTES, createBurnReport } from './lib/burn/burnReport';
export type {
  BurnAlarm,
  BurnReport,
  BurnReportLevel,
  BurnWindow,
  InstanceBurn,
} from './lib/burn/burnReport';
export { renderBurnPage } from './lib/burn/renderBurnPage';
export { renderBurnText } from './lib/burn/renderBurnText';
export { explainRequest, type ExplainedStep, type Explanation } from './lib/explain/explainRequest';
export { readLogLines, type LogLine } from './lib/explain/readLogLines';
export { renderExplanation } from './lib/explain/renderExplanation';
export { renderTable } from './lib/text/renderTable';
