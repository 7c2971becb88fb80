import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import { expect, it } from 'vitest';

const TEST_TIMEOUT_MILLISECONDS = 180_000;

/** Takes measured times and counts out of the lines. */
function withoutFigures(output: string): string {
  return output
    .replace(/archivio-luci-1-[abc]/g, 'MEMBER')
    .replace(/\d+ ms/g, 'N ms')
    .replace(/\d+ requests/g, 'N requests')
    .replace(/term \d+/g, 'term N');
}

it(
  'walks through the whole path as separate processes',
  async () => {
    const { stdout } = await promisify(execFile)('node', ['dist/demo.cjs', '--once']);
    expect(withoutFigures(stdout)).toMatchSnapshot();
  },
  TEST_TIMEOUT_MILLISECONDS,
);
