export {
  DEFAULT_DATABASE_OPTIONS,
  createStandInDatabase,
  type StandInDatabase,
  type StandInDatabaseOptions,
} from './lib/createStandInDatabase';
export { type FaultSettings } from './lib/faults/createFaults';
