import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { readExperiment, runExperiment } from '../index';
import type { Experiment, PlannedFault, WorldLogLine } from '../index';

const experiment = readExperiment(join('experiments', 'last-member-leaves.toml'));

/** Broken promises that a failed test prints. */
const SHOWN = 3;

/** Connections of a member that are too few for all instances, so that some hold them for others. */
const FEW_CONNECTIONS = 8;

/** Until the successor runs, is listed and has been found by callers who came back late. */
const SUCCESSION_SECONDS = 4;

/** Faults that come while a member leaves. */
const OTHERS: Record<string, PlannedFault[]> = {
  'nothing else': [],
  'all instances killed': [{ kind: 'killAll', at: 9 }],
  'all instances without power': [{ kind: 'powerOffAll', at: 7, seconds: 1 }],
  'instances stopped in turn': [{ kind: 'rollingStops', at: 5, pause: 1.5 }],
  'the store away as it leaves': [{ kind: 'storeDown', at: 5, seconds: 3 }],
  'the store away afterwards': [{ kind: 'storeDown', at: 7, seconds: 8 }],
  'a directory that comes late': [
    { kind: 'lateDirectory', at: 3, seconds: 12, milliseconds: 4_000 },
  ],
  'lost answers': [{ kind: 'lostAnswers', at: 5, seconds: 10, share: 0.2 }],
  'a slow database': [{ kind: 'slowDatabase', at: 5, seconds: 10, factor: 8, member: 0 }],
};

async function playWith(faults: readonly PlannedFault[], changes: Partial<Experiment> = {}) {
  const lines: WorldLogLine[] = [];
  const played = { ...experiment, ...changes, faults: [...experiment.faults, ...faults] };
  const result = await runExperiment(played, { seed: 1, onLog: (line) => lines.push(line) });
  return { ...result, lines };
}

describe('the last member of a group that leaves', () => {
  it.each(Object.keys(OTHERS))('gets no new statements after its bound (%s)', async (name) => {
    // Guards against statements that reach a leaving database which nobody can replace.
    const { broken } = await playWith(OTHERS[name]!);
    expect(broken.slice(0, SHOWN)).toEqual([]);
  });

  it('gets none from instances that hold its connections for others', async () => {
    const deployment = { ...experiment.deployment, maximumConnections: FEW_CONNECTIONS };
    const { broken, system } = await playWith([], { deployment });
    expect(system.relayed).toBeGreaterThan(0);
    expect(broken.slice(0, SHOWN)).toEqual([]);
  });

  it('leaves its callers to come back, without a wait', async () => {
    // Guards against statements that wait for a member of which it is known that none can come.
    const { lines } = await playWith([]);
    const isClosed = ({ event, fields }: WorldLogLine) =>
      event === 'statementRefused' && String(fields.detail).startsWith('all members are leaving');
    const refusals = lines.filter(isClosed);
    const closedAt = refusals[0]!.at;
    const waits = refusals
      .map(({ at, fields }) => ({ at, waited: Number(fields.waitedMilliseconds) }))
      .filter(({ at, waited }) => at - waited > closedAt);
    expect(waits.length).toBeGreaterThan(0);
    expect(waits.filter(({ waited }) => waited > 0)).toEqual([]);
  });

  it('is served again once its successor is there', async () => {
    const { callers } = await playWith([]);
    const [, leaves] = experiment.faults;
    const endsAt = leaves!.at + (leaves as { seconds: number }).seconds;
    const last = callers.windows.filter(
      ({ fromSecond }) => fromSecond > endsAt + SUCCESSION_SECONDS,
    );
    expect(Math.min(...last.map(({ credit }) => credit))).toBeGreaterThan(0.9);
  });
});
