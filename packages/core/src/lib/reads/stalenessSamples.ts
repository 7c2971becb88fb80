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
const MAXIMUM_SAMPLES = 2_048;

/** Bounds on the age of what each member shows. @internal */
export interface StalenessSamples {
  /** Takes a new answer into account and brings every member's `freshAsOf` up to date. */
  onAnswered: () => void;
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

  function onAnswered(): void {
    const sample = takeSample(members);
    if (!sample) return;
    addSample(samples, sample);
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
  const sample = samples.findLast(({ position }) => isAtMost(position, status.applied));
  if (sample && sample.at > member.freshAsOf) Object.assign(member, { freshAsOf: sample.at });
}
