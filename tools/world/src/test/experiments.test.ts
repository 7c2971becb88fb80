import { mkdtempSync, readdirSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { ExperimentFileError, readExperiment, runExperiment } from '../index';

const FOLDER = 'experiments';

describe('the files of experiments', () => {
  it.each(readdirSync(FOLDER))('%s can be read', (name) => {
    expect(readExperiment(join(FOLDER, name)).seeds.length).toBeGreaterThanOrEqual(5);
  });

  it('are refused with the file and the key', () => {
    const path = join(mkdtempSync(join(tmpdir(), 'experiment-')), 'wrong.toml');
    writeFileSync(path, 'name = "wrong"\nabout = "x"\nseconds = "long"\n');
    expect(() => readExperiment(path)).toThrow(ExperimentFileError);
    expect(() => readExperiment(path)).toThrow(`${path}: seconds: `);
  });
});

describe('a simulated world', () => {
  it('plays a seed the same way each time', async () => {
    const experiment = { ...readExperiment(join(FOLDER, 'loss-of-all.toml')), seconds: 8 };
    const first = await runExperiment(experiment, { seed: 5 });
    const second = await runExperiment(experiment, { seed: 5 });
    expect(JSON.stringify(second)).toBe(JSON.stringify(first));
  });

  it('serves a calm day whole, and keeps every promise', async () => {
    const experiment = { ...readExperiment(join(FOLDER, 'calm.toml')), seconds: 12 };
    const { callers, broken } = await runExperiment(experiment, { seed: 1 });
    expect(broken).toEqual([]);
    expect(callers).toMatchObject({ refused: 0, failed: 0 });
    expect(callers.credit).toBeGreaterThan(0.99);
  });

  it.each(['calm.toml', 'holders-apart.toml', 'dark-primary.toml'])(
    'runs what callers sent in %s, with values, names and shapes of any bytes',
    async (name) => {
      // Guards against values and prepared statements of one session that run for another.
      const experiment = readExperiment(join(FOLDER, name));
      const load = { ...experiment.load, drawsTexts: true };
      const { callers, broken } = await runExperiment(
        { ...experiment, load, seconds: 8 },
        { seed: 1 },
      );
      expect(broken).toEqual([]);
      expect(callers.credit).toBeGreaterThan(0.5);
    },
  );

  it.each([
    ['failed', 1],
    ['failed', 0.4],
    ['closed', 1],
    ['silent', 1],
  ] as const)('spares callers a replica that is %s for %s of its runs', async (manner, share) => {
    // Guards against a replica that looks idle and fast because it fails what it is sent.
    const experiment = readExperiment(join(FOLDER, 'failing-replica.toml'));
    const faults = [{ ...experiment.faults[0]!, at: 1, manner, share }] as typeof experiment.faults;
    const { callers, broken } = await runExperiment(
      { ...experiment, seconds: 6, faults },
      { seed: 1 },
    );
    expect(broken).toEqual([]);
    expect(callers.failed + callers.refused).toBeLessThan(20);
  });
});
