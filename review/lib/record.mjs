// Writes what was sent, answered and run to record.txt beside the script.
import { writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

/** Collects lines with the milliseconds since the script began. */
export function createRecord(path) {
  const startedAt = performance.now();
  const lines = [];
  return {
    add: (text, at = performance.now()) => {
      lines.push({ at, text });
    },
    write: () => {
      const sorted = [...lines].sort((left, right) => left.at - right.at);
      const format = ({ at, text }) => `${(at - startedAt).toFixed(1).padStart(9)} ms  ${text}\n`;
      writeFileSync(path, sorted.map(format).join(''));
    },
  };
}
