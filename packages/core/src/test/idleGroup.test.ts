import { describe, expect, it } from 'vitest';
import { createScenario } from './engineScenario';
import type { Scenario } from './engineScenario';

describe('idle group', () => {
  function countStatusRequests(scenario: Scenario, milliseconds: number): number {
    const before = scenario.statusRequestCount();
    scenario.run(milliseconds);
    return scenario.statusRequestCount() - before;
  }

  it('is probed at the idle interval until the next request', () => {
    const scenario = createScenario();
    scenario.run(5_000);
    // Three members, each probed every 1 s plus or minus 25 %.
    expect(countStatusRequests(scenario, 10_000)).toBeLessThanOrEqual(42);
    scenario.read();
    // Three members, each probed every 100 ms plus or minus 25 %.
    expect(countStatusRequests(scenario, 2_000)).toBeGreaterThanOrEqual(45);
  });

  it.each(['frozen', 'down'] as const)('replaces a primary that is %s', (state) => {
    const scenario = createScenario();
    scenario.run(5_000);
    scenario.member('a1').state = state;
    const waited = scenario.runUntil(() => scenario.findRecords('primaryPromoted').length === 1);
    expect(waited).toBeLessThan(3_000);
  });

  it('completes a write that arrives before the failure of its primary is detected', () => {
    // Guards against the long idle probe interval delaying failover for the first write.
    const scenario = createScenario();
    scenario.run(5_000);
    scenario.member('a1').state = 'frozen';
    const write = scenario.write({ deadlineAt: scenario.now() + 5_000 });
    const waited = scenario.runUntil(() => write.outcome !== undefined);
    expect(write.outcome?.status).toBe('done');
    expect(waited).toBeLessThan(2_000);
  });
});
