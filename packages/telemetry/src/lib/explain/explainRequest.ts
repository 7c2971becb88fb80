import type { LogLine } from './readLogLines';

/** Why a line is part of an explanation. @public */
export type StepKind =
  /** It names the request. */
  | 'request'
  /** It changed what an instance believed of the request's group at the time. */
  | 'belief'
  /** An instance on the request's way lost or regained something that it depends on. */
  | 'dependency'
  /** What an instance on the way had last learned before. */
  | 'before';

/** @public */
export interface ExplainedStep extends LogLine {
  kind: StepKind;
  /** Milliseconds since the request began, as far as its lines tell. */
  offset: number;
}

/** The way of one request through the instances. @public */
export interface Explanation {
  requestId: string;
  groups: string[];
  instances: string[];
  steps: ExplainedStep[];
  /** Steps beyond the limit that were left out, those of other requests' lines first. */
  leftOut: number;
}

/**
 * Time before a request that may explain it: an outage of a primary is suspected, looked into and ended
 * within five seconds.
 */
const BEFORE_MILLISECONDS = 5_000;

/** Time after it, for what an instance found out because of it. */
const AFTER_MILLISECONDS = 1_000;

/** Steps that fit a reader's patience; lines of the request itself are never left out. */
const LIMIT = 120;

/** Lines of other requests say nothing of this one. */
const isOfOtherRequest = ({ fields }: LogLine) => fields.requestId !== undefined;

/** What an instance depends on: store, other instances, a log that could not be written whole. */
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

/** The last line of each of these before a request tells by what the instance decided. */
const STATE_EVENTS = ['configurationAdopted', 'storeLost', 'storeRegained', 'holdersPlanned'];

/**
 * Finds what the logs of the instances tell of a request.
 *
 * @param options.lines - of all instances, in time order.
 * @returns undefined where no line names the request.
 * @public
 */
export function explainRequest(options: {
  lines: readonly LogLine[];
  requestId: string;
}): Explanation | undefined {
  const { lines, requestId } = options;
  const own = lines.filter(({ fields }) => fields.requestId === requestId);
  const [first] = own;
  const last = own.at(-1);
  if (!first || !last) return undefined;
  const began = Math.min(
    ...own.map(({ at, fields }) => at - Number(fields.waitedMilliseconds ?? 0)),
  );
  const groups = unique(own.flatMap(({ fields }) => (fields.group ? [String(fields.group)] : [])));
  const instances = unique(own.map(({ instance }) => instance));

  const kindOf = (line: LogLine): StepKind | undefined => {
    if (line.fields.requestId === requestId) return 'request';
    if (isOfOtherRequest(line)) return undefined;
    if (groups.includes(String(line.fields.group))) return 'belief';
    const isOnTheWay = instances.includes(line.instance);
    return isOnTheWay && DEPENDENCY_EVENTS.has(line.event) ? 'dependency' : undefined;
  };

  const around = lines.filter(
    ({ at }) => at >= began - BEFORE_MILLISECONDS && at <= last.at + AFTER_MILLISECONDS,
  );
  const found = around.flatMap((line) => {
    const kind = kindOf(line);
    return kind ? [{ ...line, kind, offset: line.at - began }] : [];
  });
  const kept = keepWithin(found);
  const earlier = lines.filter(
    ({ at, fields }) =>
      at < began - BEFORE_MILLISECONDS &&
      (fields.group === undefined || groups.includes(String(fields.group))),
  );
  const steps = [...findStates(earlier, instances, began), ...kept];
  const leftOut = found.length - kept.length;
  return { requestId, groups, instances, steps, leftOut };
}

/** What the instances on the way had last learned before the time that is shown anyway. */
function findStates(
  earlier: readonly LogLine[],
  instances: readonly string[],
  began: number,
): ExplainedStep[] {
  const states = instances.flatMap((instance) =>
    STATE_EVENTS.flatMap((event) => {
      const state = earlier.findLast((line) => line.instance === instance && line.event === event);
      return state ? [{ ...state, kind: 'before' as const, offset: state.at - began }] : [];
    }),
  );
  return states.sort((left, right) => left.at - right.at);
}

/** Keeps the steps that are nearest to the request, in their order. */
function keepWithin(steps: readonly ExplainedStep[]): ExplainedStep[] {
  const others = steps.filter(({ kind }) => kind !== 'request');
  const room = Math.max(0, LIMIT - (steps.length - others.length));
  const nearest = others
    .toSorted((left, right) => Math.abs(left.offset) - Math.abs(right.offset))
    .slice(0, room);
  const kept = new Set(nearest);
  return steps.filter((step) => step.kind === 'request' || kept.has(step));
}

function unique(values: readonly string[]): string[] {
  return [...new Set(values)];
}
