export {
  experimentSchema,
  type Experiment,
  type PlannedFault,
  type RequestKind,
} from './lib/experiment/experimentSchema';
export { type CallerFigures, type WindowFigures } from './lib/experiment/figures';
export { ExperimentFileError, readExperiment } from './lib/experiment/readExperiment';
export {
  runExperiment,
  type ExperimentResult,
  type RunOptions,
  type WorldLogLine,
} from './lib/experiment/runExperiment';
export { type SystemFigures } from './lib/experiment/systemFigures';
