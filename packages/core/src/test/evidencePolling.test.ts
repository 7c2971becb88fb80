import { describe, expect, it } from 'vitest';
import { planEvidencePolls } from '../index';

describe('polls for evidence', () => {
  it('begin as early as the goal requires and widen while a replica stays behind', () => {
    // Guards against transactions with a tight goal that spend it on waits for evidence.
    const plans = [100, 400, 600, 1_500, 5_000].map((goal) => {
      const { firstDelay, getInterval } = planEvidencePolls({ goal });
      return { goal, firstDelay, intervals: [1, 3, 4, 50].map(getInterval) };
    });
    expect(plans).toMatchInlineSnapshot(`
      [
        {
          "firstDelay": 10,
          "goal": 100,
          "intervals": [
            30,
            30,
            150,
            150,
          ],
        },
        {
          "firstDelay": 10,
          "goal": 400,
          "intervals": [
            30,
            30,
            150,
            150,
          ],
        },
        {
          "firstDelay": 60,
          "goal": 600,
          "intervals": [
            30,
            30,
            150,
            150,
          ],
        },
        {
          "firstDelay": 285,
          "goal": 1500,
          "intervals": [
            150,
            150,
            150,
            150,
          ],
        },
        {
          "firstDelay": 300,
          "goal": 5000,
          "intervals": [
            150,
            150,
            150,
            150,
          ],
        },
      ]
    `);
  });
});
