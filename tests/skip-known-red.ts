import { readFileSync } from 'node:fs';
import { beforeEach } from 'vitest';

/** A line that names a test: its file, its name or that of the group around it, in quotes. */
const ENTRY = /^(?<file>\S+\.test\.ts) "(?<name>[^"]+)"/;

const entries = readFileSync('KNOWN-RED.txt', 'utf8')
  .split('\n')
  .map((line) => ENTRY.exec(line)?.groups)
  .filter((entry) => entry !== undefined);

/** Passes over the tests that KNOWN-RED.txt lists, and no others. */
beforeEach(({ task, skip }) => {
  const names = [task.name];
  for (let { suite } = task; suite; { suite } = suite) names.unshift(suite.name);
  const fullName = names.join(' > ');
  const isListed = entries.some(
    ({ file, name }) =>
      task.file.name === file && (fullName === name || fullName.startsWith(`${name} > `)),
  );
  if (isListed) skip('listed in KNOWN-RED.txt');
});
