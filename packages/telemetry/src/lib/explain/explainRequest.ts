import type { LogLine } from './readLogLines';

/** Why an explanation contains a log line. @public */
export type StepKind =
  /** Contains the request id. */
  | 'request'
  /** Names the group of the request and belongs to no request. */
  | 'belief'
  /** An involved instance lost or regained a dependency, or started or stopped. */
  | 'dependency'
  /** Last known state of an involved instance before the lookback window. */
  | 'before';

/** @public */
export interface ExplainedStep extends LogLine {
  kind: StepKind;
  /** Milliseconds since the start of the request, estimated from its lines. */
  offset: number;
}

/** The log lines that are relevant to one request. @public */
export interface Explanation {
  requestId: string;
  groups: string[];
  instances: string[];
  steps: ExplainedStep[];
  /** Number of omitted steps above the limit; lines of the request are never omitted. */
  leftOut: number;
}

/** Window before a request; covers a complete failover, which takes at most five seconds. */
const LOOKBACK_MILLISECONDS = 5_000;

/** Window after a request, for events that it triggered. */
const LOOKAHEAD_MILLISECONDS = 1_000;

const MAXIMUM_STEPS = 120;

const hasRequestId = ({ fields }: LogLine) => fields.requestId !== undefined;

/** Events of the store connection, other instances, dropped log lines and the process itself. */
const DEPENDENCY_EVENTS: ReadonlySet<string> = new Set([
  'storeLost',
  'storeRegained',
  'instancesNotRead',
  'instanceLost',
  'clocksDisagree',
  'logLinesLeftOut',
  'stopRequested',
  'started',
  'stopped',
  'drainStarted',
]);

/** Events whose last occurrence before a request determines the state of an instance. */
const STATE_EVENTS = ['configurationAdopted', 'storeLost', 'storeRegained', 'holdersPlanned'];

/**
 * Finds the log lines that explain a request.
 *
 * @param options.lines - of all instances, in time order.
 * @returns undefined if no line contains the request id.
 * @public
 */
export function explainRequest(options: {
  lines: readonly LogLine[];
  requestId: string;
}): Explanation | undefined {
  const { lines, requestId } = options;
  const requestLines = lines.filter(({ fields }) => fields.requestId === requestId);
  const [first] = requestLines;
  const last = requestLines.at(-1);
  if (!first || !last) return undefined;
  const startedAt = Math.min(
    ...requestLines.map(({ at, fields }) => at - Number(fields.waitedMilliseconds ?? 0)),
  );
  const groups = removeDuplicates(
    requestLines.flatMap(({ fields }) => (fields.group ? [String(fields.group)] : [])),
  );
  const instances = removeDuplicates(requestLines.map(({ instance }) => instance));

  const classifyLine = (line: LogLine): StepKind | undefined => {
    if (line.fields.requestId === requestId) return 'request';
    if (hasRequestId(line)) return undefined;
    if (groups.includes(String(line.fields.group))) return 'belief';
    const isInvolved = instances.includes(line.instance);
    return isInvolved && DEPENDENCY_EVENTS.has(line.event) ? 'dependency' : undefined;
  };

  const nearby = lines.filter(
    ({ at }) => at >= startedAt - LOOKBACK_MILLISECONDS && at <= last.at + LOOKAHEAD_MILLISECONDS,
  );
  const matched = nearby.flatMap((line) => {
    const kind = classifyLine(line);
    return kind ? [{ ...line, kind, offset: line.at - startedAt }] : [];
  });
  const kept = keepNearest(matched);
  const earlier = lines.filter(
    ({ at, fields }) =>
      at < startedAt - LOOKBACK_MILLISECONDS &&
      (fields.group === undefined || groups.includes(String(fields.group))),
  );
  const steps = [...findStates(earlier, instances, startedAt), ...kept];
  const leftOut = matched.length - kept.length;
  return { requestId, groups, instances, steps, leftOut };
}

/** Finds the last known state of the involved instances before the lookback window. */
function findStates(
  earlier: readonly LogLine[],
  instances: readonly string[],
  startedAt: number,
): ExplainedStep[] {
  const states = instances.flatMap((instance) =>
    STATE_EVENTS.flatMap((event) => {
      const state = earlier.findLast((line) => line.instance === instance && line.event === event);
      return state ? [{ ...state, kind: 'before' as const, offset: state.at - startedAt }] : [];
    }),
  );
  return states.sort((left, right) => left.at - right.at);
}

/**
 * Keeps every line of the request and, up to `MAXIMUM_STEPS` in total, the other steps closest to its
 * start; the order is unchanged.
 */
function keepNearest(steps: readonly ExplainedStep[]): ExplainedStep[] {
  const others = steps.filter(({ kind }) => kind !== 'request');
  const remaining = Math.max(0, MAXIMUM_STEPS - (steps.length - others.length));
  const nearest = others
    .toSorted((left, right) => Math.abs(left.offset) - Math.abs(right.offset))
    .slice(0, remaining);
  const kept = new Set(nearest);
  return steps.filter((step) => step.kind === 'request' || kept.has(step));
}

function removeDuplicates(values: readonly string[]): string[] {
  return [...new Set(values)];
}
