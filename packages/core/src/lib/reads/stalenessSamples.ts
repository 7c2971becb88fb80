import { comparePositions, isAtMost } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import type { Member, MemberTable } from '../engine/memberTable';

interface Sample {
  /** Every write acknowledged before this time is contained in `position`. */
  at: number;
  position: Position;
}

/** Samples closer together than this replace one another. */
const SAMPLE_SPACING_MILLISECONDS = 10;
/** Answers that come closer together than this share a sample. */
const SAMPLE_INTERVAL_MILLISECONDS = 2;
const MAXIMUM_SAMPLES = 2_048;

/** Bounds on the age of what each member shows. @internal */
export interface StalenessSamples {
  /** Takes a new answer into account and brings the member's `freshAsOf` up to date. */
  onAnswered: (member: Member, now: number) => void;
}

/**
 * Creates the samples that bound the age of a member's data without other machines' clocks.
 *
 * A sample says: what a majority held when it was asked at time t. A member that has applied that
 * much shows every write acknowledged before t, so at a later time its data is at most now - t old.
 * A lagging member keeps an old bound and drops out once a kind's accepted age is exceeded.
 *
 * @internal
 */
export function createStalenessSamples(members: MemberTable): StalenessSamples {
  /** Rising in time and in position: a newer sample at or below an older one makes it needless. */
  const samples: Sample[] = [];

  let sampledAt = Number.NEGATIVE_INFINITY;

  function onAnswered(member: Member, now: number): void {
    if (now - sampledAt >= SAMPLE_INTERVAL_MILLISECONDS) sample(now);
    refresh(member, samples);
  }

  function sample(now: number): void {
    const taken = takeSample(members);
    if (!taken) return;
    sampledAt = now;
    addSample(samples, taken);
    members.list().forEach((member) => refresh(member, samples));
  }

  return { onAnswered };
}

function takeSample(members: MemberTable): Sample | undefined {
  const answered = members.list().filter(({ status }) => status !== undefined);
  if (answered.length < members.majority()) return undefined;
  const newest = [...answered]
    .sort((left, right) => right.statusAskedAt - left.statusAskedAt)
    .slice(0, members.majority());
  const ends = newest.flatMap(({ status }) => (status ? [status.logEnd] : []));
  const at = Math.min(...newest.map(({ statusAskedAt }) => statusAskedAt));
  return { at, position: ends.sort(comparePositions).at(-1) as Position };
}

function addSample(samples: Sample[], sample: Sample): void {
  const last = samples.at(-1);
  if (last && sample.at <= last.at) return;
  while (samples.length > 0 && isAtMost(sample.position, (samples.at(-1) as Sample).position)) {
    samples.pop();
  }
  const beforeLast = samples.at(-2);
  if (beforeLast && sample.at - beforeLast.at < SAMPLE_SPACING_MILLISECONDS) samples.pop();
  samples.push(sample);
  if (samples.length > MAXIMUM_SAMPLES) thinOut(samples);
}

/** Drops every second sample of the older half: old bounds get coarser, never wrong. */
function thinOut(samples: Sample[]): void {
  const half = Math.floor(samples.length / 2);
  const kept = samples.slice(0, half).filter((_, index) => index % 2 === 0);
  samples.splice(0, half, ...kept);
}

function refresh(member: Member, samples: Sample[]): void {
  const { status } = member;
  if (!status) return;
  const sample = findNewestWithin(samples, status.applied);
  if (sample && sample.at > member.freshAsOf) Object.assign(member, { freshAsOf: sample.at });
}

/** The newest sample at or below the position, by halving: a member far behind must not cost a walk. */
function findNewestWithin(samples: Sample[], applied: Position): Sample | undefined {
  let low = 0;
  let high = samples.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (isAtMost((samples[middle] as Sample).position, applied)) low = middle + 1;
    else high = middle;
  }
  return samples[low - 1];
}
