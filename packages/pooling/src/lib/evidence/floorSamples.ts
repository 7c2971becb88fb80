import type { Position } from '@wisterialift/schema';

/** A log end of the primary and when it was asked for. */
export interface FloorSample {
  askedAt: number;
  term: number;
  position: Position;
}

export interface FloorSamples {
  add: (sample: FloorSample) => void;
  /** Oldest sample of `term` that was asked at or after `since`: the least that a read needs. */
  find: (options: { since: number; term: number }) => FloorSample | undefined;
  /** When the primary was first seen past a position; undefined where it was not. */
  timeBeyond: (position: Position) => number | undefined;
  clear: () => void;
}

/** Samples closer than this add nothing: a floor of 20 ms more or less changes no placing. */
const SPACING_MILLISECONDS = 20;

/** At the spacing above, 400 samples reach back 8 s, beyond the ages that callers accept. */
const LIMIT = 400;

export function createFloorSamples(): FloorSamples {
  let samples: FloorSample[] = [];

  return {
    add: ({ askedAt, term, position }) => {
      const last = samples.at(-1);
      if (last && last.term > term) return;
      if (last?.term === term && askedAt < last.askedAt + SPACING_MILLISECONDS) return;
      if (last && last.term < term) samples = [];
      samples.push({ askedAt, term, position });
      if (samples.length > LIMIT) samples.shift();
    },
    find: ({ since, term }) =>
      samples.find((sample) => sample.askedAt >= since && sample.term === term),
    timeBeyond: ({ term, index }) =>
      samples.find((sample) => sample.term === term && sample.position.index > index)?.askedAt,
    clear: () => {
      samples = [];
    },
  };
}
