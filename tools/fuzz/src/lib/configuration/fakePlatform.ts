import type { ConfigurationObject } from '@wisterialift/schema';
import type { SubmissionEvent, VersionedConfiguration } from '@wisterialift/core';
import type { Random } from '../simulation/random';
import type { Scheduler } from '../simulation/scheduler';

/** The platform's service as far as the configuration object needs it. @public */
export interface FakePlatform {
  read: (onEvent: (event: SubmissionEvent) => void) => void;
  update: (
    expectedVersion: number,
    configurationObject: ConfigurationObject,
    onEvent: (event: SubmissionEvent) => void,
  ) => void;
  setOutage: (isOut: boolean) => void;
  /** The next updates take effect and their answers are lost. */
  loseAnswers: (count: number) => void;
  setDelay: (milliseconds: number) => void;
  stored: () => VersionedConfiguration | undefined;
  /** Every configuration object that was ever stored, oldest first. */
  history: () => readonly ConfigurationObject[];
}

const USUAL_DELAY_MILLISECONDS = 5;
const TIMEOUT_MILLISECONDS = 400;
/** Probability that an outage shows as a refused connection, not as silence. */
const REFUSED = 0.4;
/** Probability that an update lost in an outage is applied after it. */
const APPLIED_LATE = 0.5;

/** Creates a platform that holds one object under conditional updates. @public */
export function createFakePlatform(scheduler: Scheduler, random: Random): FakePlatform {
  const history: ConfigurationObject[] = [];
  let stored: VersionedConfiguration | undefined;
  let isOut = false;
  let lostAnswers = 0;
  let delay = USUAL_DELAY_MILLISECONDS;
  let parked: (() => void)[] = [];

  const travel = (action: () => void) => scheduler.after(1 + random.next() * delay, action);

  /** Sends a call; the caller hears of it once: its answer, a refusal or a timeout. */
  const call = (
    run: () => SubmissionEvent,
    isUpdate: boolean,
    onEvent: (event: SubmissionEvent) => void,
  ) => {
    let isOver = false;
    const end = (event: SubmissionEvent) => {
      if (isOver) return;
      isOver = true;
      onEvent(event);
    };
    scheduler.after(TIMEOUT_MILLISECONDS, () =>
      end({ type: 'callFailed', mayHaveApplied: isUpdate }),
    );
    travel(() => {
      if (isOut && random.chance(REFUSED)) {
        travel(() => end({ type: 'callFailed', mayHaveApplied: false }));
        return;
      }
      if (isOut) {
        if (random.chance(APPLIED_LATE)) parked.push(run);
        return;
      }
      const event = run();
      if (isUpdate && lostAnswers > 0) lostAnswers -= 1;
      else travel(() => end(event));
    });
  };

  const store = (
    expectedVersion: number,
    configurationObject: ConfigurationObject,
  ): SubmissionEvent => {
    if ((stored?.version ?? 0) !== expectedVersion) return { type: 'updateConflicted' };
    stored = { version: expectedVersion + 1, configurationObject };
    history.push(configurationObject);
    return { type: 'updateStored' };
  };

  return {
    read: (onEvent) => call(() => ({ type: 'objectRead', found: stored }), false, onEvent),
    update: (expectedVersion, configurationObject, onEvent) =>
      call(() => store(expectedVersion, configurationObject), true, onEvent),
    setOutage: (isOutNow) => {
      isOut = isOutNow;
      if (isOut) return;
      const late = parked;
      parked = [];
      late.forEach((run) =>
        travel(() => {
          run();
        }),
      );
    },
    loseAnswers: (count) => {
      lostAnswers = count;
    },
    setDelay: (milliseconds) => {
      delay = milliseconds;
    },
    stored: () => stored,
    history: () => history,
  };
}
