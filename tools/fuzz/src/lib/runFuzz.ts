import fc from 'fast-check';
import {
  configurationArbitrary,
  runConfigurationHistory,
} from './configuration/configurationHistory';
import { historyArbitrary } from './history/historyPlan';
import { runHistory } from './history/runHistory';
import type { GuaranteeViolation } from './oracle/violation';

/** @public */
export interface FuzzOptions {
  /** Seed of the first history; each further one has the next. */
  seed: number;
  runs: number;
}

/** What a number of histories came to. @public */
export interface FuzzSummary {
  histories: number;
  violatingSeeds: number[];
  /** Sums over all histories, by what was counted. */
  counts: Record<string, number>;
  /** For each violating seed its shrunk plan, violations and the end of its trace. */
  failures: string[];
}

/** A run of one history, whatever it is made of. */
interface Run {
  violations: GuaranteeViolation[];
  trace: string[];
  counts: Record<string, number>;
}

/** Lines of the trace that are printed with a failure. */
const PRINTED_TRACE_LINES = 80;
/** Tries at a smaller plan before the failure is printed as it is. */
const SHRINKING_LIMIT_MILLISECONDS = 20_000;

/**
 * Runs histories of the proxies and databases of one group.
 *
 * @public
 */
export function runGroupFuzz(options: FuzzOptions): FuzzSummary {
  return runFuzz(options, historyArbitrary, (plan) => {
    const { violations, trace, counts, promotions } = runHistory({ plan });
    return { violations, trace, counts: { ...counts, promotions } };
  });
}

/**
 * Runs histories of operators, platform and the configuration's way to the proxies.
 *
 * @public
 */
export function runConfigurationFuzz(options: FuzzOptions): FuzzSummary {
  return runFuzz(options, configurationArbitrary, runConfigurationHistory);
}

function runFuzz<Plan>(
  { seed, runs }: FuzzOptions,
  arbitrary: fc.Arbitrary<Plan>,
  run: (plan: Plan) => Run,
): FuzzSummary {
  const summary: FuzzSummary = { histories: 0, violatingSeeds: [], counts: {}, failures: [] };
  for (let current = seed; current < seed + runs; current += 1) {
    const [plan] = fc.sample(arbitrary, { seed: current, numRuns: 1 }) as [Plan];
    const result = run(plan);
    summary.histories += 1;
    Object.entries(result.counts).forEach(([name, count]) => {
      summary.counts[name] = (summary.counts[name] ?? 0) + count;
    });
    if (result.violations.length > 0) {
      summary.violatingSeeds.push(current);
      summary.failures.push(describeFailure(current, arbitrary, run));
    }
  }
  return summary;
}

/** Runs the seed again to shrink its plan, keeping the same broken guarantee. */
function describeFailure<Plan>(
  seed: number,
  arbitrary: fc.Arbitrary<Plan>,
  run: (plan: Plan) => Run,
): string {
  const property = fc.property(arbitrary, (plan) => run(plan).violations.length === 0);
  const details = fc.check(property, {
    seed,
    numRuns: 1,
    interruptAfterTimeLimit: SHRINKING_LIMIT_MILLISECONDS,
  });
  const plan = details.counterexample?.[0] ?? fc.sample(arbitrary, { seed, numRuns: 1 })[0]!;
  const { violations, trace } = run(plan);
  return [
    `seed ${seed}: ${violations.map(({ guarantee, at, detail }) => `${guarantee} at ${at}: ${detail}`).join('; ')}`,
    `  plan ${JSON.stringify(plan)}`,
    ...trace.slice(-PRINTED_TRACE_LINES).map((line) => `  ${line}`),
  ].join('\n');
}
