import { comparePositions, getHigherPosition, isAtMost } from '@wisterialift/schema';
import type { Position } from '@wisterialift/schema';
import type { Member, MemberTable } from '../engine/memberTable';

interface Sample {
  /** Time on the age clock before which every acknowledged write is covered by `position`. */
  at: number;
  position: Position;
}

/** Samples closer together than this replace each other. */
const RETAINED_SAMPLE_SPACING_MILLISECONDS = 10;
/** Answers within this time of the last sample do not create a new one. */
const MINIMUM_SAMPLE_INTERVAL_MILLISECONDS = 2;
const MAXIMUM_SAMPLES = 2_048;

/** Tracks an upper bound for the staleness of each member. @internal */
export interface StalenessSamples {
  /** Records a new answer and updates the member's `freshAsOf`. */
  onAnswered: (member: Member, now: number) => void;
}

/**
 * Creates the samples that bound the staleness of members using only the clocks of this machine.
 *
 * A sample records the log position of a majority that was polled at time t. A member that has
 * applied this position contains every write acknowledged before t.
 *
 * @internal
 */
export function createStalenessSamples(members: MemberTable): StalenessSamples {
  /** Sorted by time and position; a newer sample replaces older ones at or above its position. */
  const samples: Sample[] = [];

  let lastSampleAt = Number.NEGATIVE_INFINITY;

  function onAnswered(member: Member, now: number): void {
    if (now - lastSampleAt >= MINIMUM_SAMPLE_INTERVAL_MILLISECONDS) recordSample(now);
    updateFreshness(member, samples);
  }

  function recordSample(now: number): void {
    const taken = takeSample(members);
    if (!taken) return;
    lastSampleAt = now;
    addSample(samples, taken);
    members.list().forEach((member) => updateFreshness(member, samples));
  }

  return { onAnswered };
}

function takeSample(members: MemberTable): Sample | undefined {
  const answered = members.list().filter(members.isCounted);
  const votes = members.countVotes(answered.flatMap(({ status }) => status ?? []));
  if (!votes.isMajority) return undefined;
  const newest = answered
    .filter(({ status }) => status && votes.statuses.includes(status))
    .sort((left, right) => right.statusRequestedAt - left.statusRequestedAt)
    .slice(0, votes.majority);
  const ends = newest.flatMap(({ status }) => (status ? [status.logEnd] : []));
  const at = Math.min(...newest.map(({ statusRequestedAt }) => statusRequestedAt));
  const highest = ends.sort(comparePositions).at(-1) as Position;
  return { at, position: getHigherPosition(highest, votes.votersAt) };
}

function addSample(samples: Sample[], sample: Sample): void {
  const last = samples.at(-1);
  if (last && sample.at <= last.at) return;
  while (samples.length > 0 && isAtMost(sample.position, (samples.at(-1) as Sample).position)) {
    samples.pop();
  }
  const beforeLast = samples.at(-2);
  if (beforeLast && sample.at - beforeLast.at < RETAINED_SAMPLE_SPACING_MILLISECONDS) samples.pop();
  samples.push(sample);
  if (samples.length > MAXIMUM_SAMPLES) thinOlderSamples(samples);
}

/** Removes every second sample of the older half; the bounds become coarser but stay valid. */
function thinOlderSamples(samples: Sample[]): void {
  const half = Math.floor(samples.length / 2);
  const kept = samples.slice(0, half).filter((_, index) => index % 2 === 0);
  samples.splice(0, half, ...kept);
}

function updateFreshness(member: Member, samples: Sample[]): void {
  const { status } = member;
  if (!status) return;
  const sample = findNewestApplied(samples, status.applied);
  if (sample && sample.at > member.freshAsOf) Object.assign(member, { freshAsOf: sample.at });
}

/** Finds the newest sample at or below the applied position by binary search. */
function findNewestApplied(samples: Sample[], applied: Position): Sample | undefined {
  let low = 0;
  let high = samples.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (isAtMost((samples[middle] as Sample).position, applied)) low = middle + 1;
    else high = middle;
  }
  return samples[low - 1];
}
