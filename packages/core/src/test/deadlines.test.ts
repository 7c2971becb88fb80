import { describe, expect, it } from 'vitest';
import { createScenario } from './engineScenario';

const LIMIT_MILLISECONDS = 300;

/** A read that a frozen member does not answer, 2 ms after its arrival. */
function startRead() {
  const scenario = createScenario();
  scenario.run(1_000);
  ['a1', 'b1', 'c1'].forEach((name) => Object.assign(scenario.member(name), { state: 'frozen' }));
  const read = scenario.read({
    token: { term: 1, index: 1 },
    isRepeatable: false,
    deadlineAt: scenario.now() + LIMIT_MILLISECONDS,
  });
  scenario.run(2);
  const { requestId } = read;
  const continueAnswer = () =>
    scenario.handle({ type: 'answerContinued', requestId, attempt: read.sentTo.length });
  return { scenario, read, continueAnswer };
}

describe('a read whose answer has begun', () => {
  it('is not given up while parts of the answer arrive', () => {
    // Guards against discarding a long answer that flows to its caller.
    const { scenario, read, continueAnswer } = startRead();
    for (let part = 0; part < 10; part += 1) {
      scenario.run(LIMIT_MILLISECONDS - 10);
      continueAnswer();
    }
    expect(read.outcome).toBeUndefined();
  });

  it('is given up once no part has arrived for its time limit', () => {
    // Guards against a caller that waits for the rest of an answer for ever.
    const { scenario, read, continueAnswer } = startRead();
    scenario.run(100);
    continueAnswer();
    scenario.run(100);
    continueAnswer();
    const waited = scenario.runUntil(() => read.outcome !== undefined);
    expect(waited).toBe(LIMIT_MILLISECONDS);
    expect(scenario.findRecords('requestExpired')).toMatchObject([
      { respondingMilliseconds: 102, forwardingMilliseconds: 100, stalledMilliseconds: 300 },
    ]);
  });
});

describe('a read that reaches its deadline', () => {
  it('is to be repeated once it would avoid a silent member', () => {
    // Guards against callers that repeat a read at once and lose it at the same member.
    const { scenario, read } = startRead();
    scenario.runUntil(() => read.outcome !== undefined);
    expect(read.outcome).toEqual({ status: 'discarded', retryAfterMilliseconds: 400 });
  });

  it('is recorded with the time that each phase took', () => {
    // Guards against a read that is given up without a line that says where its time went.
    const { scenario, read } = startRead();
    scenario.runUntil(() => read.outcome !== undefined);
    expect(read.outcome?.status).toBe('discarded');
    expect(scenario.findRecords('requestExpired')).toMatchInlineSnapshot(`
      [
        {
          "access": "read",
          "attempts": 1,
          "forwardingMilliseconds": 0,
          "limitMilliseconds": 300,
          "name": "requestExpired",
          "queuedMilliseconds": 0,
          "requestId": "read-1",
          "respondingMilliseconds": 300,
          "stalledMilliseconds": 0,
        },
      ]
    `);
  });
});
