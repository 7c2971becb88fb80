import { describe, expect, it } from 'vitest';
import { createScenario } from './engineScenario';
import type { Scenario } from './engineScenario';

describe('a group that nobody uses', () => {
  function countQuestions(scenario: Scenario, milliseconds: number): number {
    const before = scenario.questionCount();
    scenario.run(milliseconds);
    return scenario.questionCount() - before;
  }

  it('is probed slowly, and at full pace from its next request on', () => {
    const scenario = createScenario();
    scenario.run(5_000);
    expect(countQuestions(scenario, 10_000)).toBeLessThanOrEqual(42);
    scenario.read();
    expect(countQuestions(scenario, 2_000)).toBeGreaterThanOrEqual(45);
  });

  it.each(['frozen', 'down'] as const)('still gets another primary when its own is %s', (state) => {
    // The primary of a group fails in the night while nobody uses it. In the morning the first
    // technician must not wait for what could have been done meanwhile.
    const scenario = createScenario();
    scenario.run(5_000);
    scenario.member('a1').state = state;
    const waited = scenario.runUntil(() => scenario.recordsOf('primaryPromoted').length === 1);
    expect(waited).toBeLessThan(3_000);
  });

  it('serves a write that arrives just after its primary froze', () => {
    // A technician opens the register after a quiet hour, in the second in which the primary stops.
    // No probe has seen it yet. The write must go to the next primary or be told unknown in time.
    const scenario = createScenario();
    scenario.run(5_000);
    scenario.member('a1').state = 'frozen';
    const write = scenario.write({ deadlineAt: scenario.now() + 5_000 });
    const waited = scenario.runUntil(() => write.outcome !== undefined);
    expect(write.outcome?.status).toBe('done');
    expect(waited).toBeLessThan(2_000);
  });
});
