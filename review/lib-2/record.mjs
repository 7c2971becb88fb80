// The record of a run: what was sent, answered and run, with the time since its start.
import { performance } from 'node:perf_hooks';
import { writeFileSync } from 'node:fs';

export function createRecord(path) {
  const startedAt = performance.now();
  const lines = [];
  const record = (text) => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
    lines.push(`${seconds.padStart(8)} s  ${text}`);
  };
  return { record, save: () => writeFileSync(path, `${lines.join('\n')}\n`) };
}
