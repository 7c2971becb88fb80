import {
  decideAdoption,
  createPatchSubmission,
  type PatchOutcome,
  type PatchSubmission,
  type SubmissionStep,
} from '@wisterialift/core';
import type { ConfigurationObject, ConfigurationPatch } from '@wisterialift/schema';
import fc from 'fast-check';
import type { GuaranteeViolation } from '../oracle/violation';
import { createRandom } from '../simulation/random';
import { createScheduler } from '../simulation/scheduler';
import { createFakePlatform } from './fakePlatform';

/** A patch that an operator submits; on `unknown` the same patch is submitted again. @public */
export interface PatchPlan {
  operator: number;
  at: number;
  /** How many numbers the operator's view is behind. */
  behind: number;
  repetitions: number;
}

/** @public */
export const PLATFORM_FAULT_KINDS = ['outage', 'lostAnswers', 'slow', 'proxyRestart'] as const;

/** @public */
export interface PlatformFaultPlan {
  kind: (typeof PLATFORM_FAULT_KINDS)[number];
  at: number;
  durationMilliseconds: number;
  proxy: number;
}

/** @public */
export interface ConfigurationPlan {
  seed: number;
  patches: PatchPlan[];
  faults: PlatformFaultPlan[];
}

/** @public */
export interface ConfigurationResult {
  violations: GuaranteeViolation[];
  trace: string[];
  counts: Record<string, number>;
}

const OPERATORS = 2;
const PROXIES = 4;
const WINDOW_MILLISECONDS = 4_000;
const LATEST_REPETITION_MILLISECONDS = 3_000;
const HEALED_AT = WINDOW_MILLISECONDS + LATEST_REPETITION_MILLISECONDS;
/** An accepted configuration is in force everywhere within this time. */
const ADOPTION_MILLISECONDS = 3_000;
const POLL_MILLISECONDS = 600;
const GOSSIP_MILLISECONDS = 400;
const MAXIMUM_FAILURES = 4;
const RETRY_MILLISECONDS = 60;
const SLOW_MILLISECONDS = 700;
const LOST_ANSWERS = 2;

/** Arbitrary histories of the configuration. @public */
export const configurationArbitrary: fc.Arbitrary<ConfigurationPlan> = fc.noBias(
  fc.record({
    seed: fc.nat(),
    patches: fc.array(
      fc.record({
        operator: fc.nat(OPERATORS - 1),
        // Coarse, so that two operators often submit at the same moment.
        at: fc.nat(WINDOW_MILLISECONDS / 100).map((tenths) => tenths * 100),
        behind: fc.oneof(fc.constant(0), fc.constant(0), fc.nat(2)),
        repetitions: fc.nat(3),
      }),
      { minLength: 1, maxLength: 20, size: 'max' },
    ),
    faults: fc.array(
      fc.record({
        kind: fc.constantFrom(...PLATFORM_FAULT_KINDS),
        at: fc.nat(WINDOW_MILLISECONDS),
        durationMilliseconds: fc.integer({ min: 50, max: 2_000 }),
        proxy: fc.nat(PROXIES - 1),
      }),
      { maxLength: 6, size: 'max' },
    ),
  }),
);

const FIRST_CONFIGURATION: ConfigurationObject = {
  number: 1,
  configuration: {
    groups: {
      register: {
        databases: [
          {
            name: 'a1',
            host: '127.0.0.1',
            port: 3306,
            dataCentre: 'sesto-dc',
            connectionLimit: 30,
            slots: 5,
            leaving: false,
          },
        ],
        user: 'proxy',
        password: '',
      },
    },
    callers: {},
    kinds: {},
    serviceLevels: [],
  },
  patches: [],
};

interface ProxyState {
  number: number | undefined;
  configurationObject: ConfigurationObject | undefined;
  /** Counts restarts; messages to an earlier process are dropped. */
  starts: number;
}

/**
 * Runs operators with competing patches against a platform with outages, lost answers and late
 * updates, and proxies that hear of configurations from the platform and from one another in any
 * order.
 *
 * @public
 */
export function runConfigurationHistory(plan: ConfigurationPlan): ConfigurationResult {
  const scheduler = createScheduler();
  const random = createRandom(plan.seed);
  const platform = createFakePlatform(scheduler, random);
  const outcomes = new Map<string, PatchOutcome[]>();
  const violations: GuaranteeViolation[] = [];
  const trace: string[] = [];
  const counts = { patches: 0, accepted: 0, outdated: 0, unknown: 0, invalid: 0 };
  const proxies: ProxyState[] = Array.from({ length: PROXIES }, () => ({
    number: undefined,
    configurationObject: undefined,
    starts: 0,
  }));

  const write = (text: string) => trace.push(`${Math.round(scheduler.now())} ${text}`);
  const report = (guarantee: string, detail: string) =>
    violations.push({ guarantee, at: Math.round(scheduler.now()), detail });

  platform.update(0, FIRST_CONFIGURATION, () => {});
  scheduler.runUntil(50);

  // Proxies

  const offer = (place: number, candidate: unknown) => {
    const proxy = proxies[place]!;
    const adoption = decideAdoption({ currentNumber: proxy.number, candidate });
    if (adoption.status === 'invalid') report('validRefused', JSON.stringify(adoption.faults));
    if (adoption.status !== 'adopted') return;
    const { number } = adoption.configurationObject;
    if (proxy.number !== undefined && number <= proxy.number) {
      report('numberWentBack', `proxy ${place} from ${proxy.number} to ${number}`);
    }
    Object.assign(proxy, { number, configurationObject: adoption.configurationObject });
  };

  const poll = (place: number) => {
    const { starts } = proxies[place]!;
    platform.read((event) => {
      if (event.type !== 'objectRead' || !event.found || proxies[place]!.starts !== starts) return;
      offer(place, event.found.configurationObject);
    });
    scheduler.after(POLL_MILLISECONDS * (0.5 + random.next()), () => poll(place));
  };

  const gossip = (place: number) => {
    const { configurationObject } = proxies[place]!;
    const peer = random.between(0, PROXIES - 1);
    if (configurationObject) {
      const delay = random.next() * GOSSIP_MILLISECONDS * 2;
      scheduler.after(delay, () => offer(peer, JSON.parse(JSON.stringify(configurationObject))));
    }
    scheduler.after(GOSSIP_MILLISECONDS * (0.5 + random.next()), () => gossip(place));
  };

  // Operators

  const remember = (patch: ConfigurationPatch, outcome: PatchOutcome) => {
    write(`${patch.patchId} against ${patch.againstNumber}: ${JSON.stringify(outcome)}`);
    counts[outcome.status] += 1;
    outcomes.set(patch.patchId, [...(outcomes.get(patch.patchId) ?? []), outcome]);
    if (outcome.status !== 'accepted') return;
    const stored = platform.history().find(({ number }) => number === outcome.number);
    if (stored?.patches.at(-1)?.patchId !== patch.patchId) {
      report('acceptedButNotStored', `${patch.patchId} at ${outcome.number}`);
    }
  };

  const drive = (submission: PatchSubmission, onFinish: (outcome: PatchOutcome) => void) => {
    const proceed = (event: Parameters<PatchSubmission['handle']>[0]) => {
      submission.handle(event);
      drive(submission, onFinish);
    };
    const handlers: {
      [Type in SubmissionStep['type']]: (step: Extract<SubmissionStep, { type: Type }>) => void;
    } = {
      readObject: () => platform.read(proceed),
      updateObject: ({ expectedVersion, configurationObject }) =>
        platform.update(expectedVersion, configurationObject, proceed),
      wait: ({ failures }) =>
        scheduler.after(RETRY_MILLISECONDS * failures, () => proceed({ type: 'waitOver' })),
      finish: ({ outcome }) => onFinish(outcome),
    };
    const step = submission.step();
    (handlers[step.type] as (step: SubmissionStep) => void)(step);
  };

  const submit = (patch: ConfigurationPatch, repetitions: number) => {
    const submission = createPatchSubmission({
      patch,
      acceptedAt: '2026-01-01T00:00:00Z',
      maximumFailures: MAXIMUM_FAILURES,
    });
    drive(submission, (outcome) => {
      remember(patch, outcome);
      const isOpen = outcome.status === 'unknown';
      if (isOpen && repetitions > 0) submit(patch, repetitions - 1);
    });
  };

  const startPatch = ({ operator, behind, repetitions }: PatchPlan, index: number) => {
    const patchId = `patch-${index}`;
    const known = proxies[operator]!.number ?? 1;
    counts.patches += 1;
    submit(
      {
        patchId,
        againstNumber: Math.max(1, known - behind),
        author: `operator-${operator}`,
        changes: { kinds: { [patchId]: { deadlineMilliseconds: 1_000 + index } } },
      },
      repetitions,
    );
  };

  // Faults

  const starters: Record<PlatformFaultPlan['kind'], (fault: PlatformFaultPlan) => () => void> = {
    outage: () => {
      platform.setOutage(true);
      return () => platform.setOutage(false);
    },
    lostAnswers: () => {
      platform.loseAnswers(LOST_ANSWERS);
      return () => platform.loseAnswers(0);
    },
    slow: () => {
      platform.setDelay(SLOW_MILLISECONDS);
      return () => platform.setDelay(5);
    },
    proxyRestart: ({ proxy: place }) => {
      const starts = proxies[place]!.starts + 1;
      proxies[place] = { number: undefined, configurationObject: undefined, starts };
      return () => {};
    },
  };

  const strike = (fault: PlatformFaultPlan) => {
    write(`fault ${fault.kind} for ${fault.durationMilliseconds} ms`);
    scheduler.after(fault.durationMilliseconds, starters[fault.kind](fault));
  };

  proxies.forEach((proxy, place) => {
    poll(place);
    gossip(place);
  });
  plan.patches.forEach((patch, index) =>
    scheduler.at(1_000 + patch.at, () => startPatch(patch, index)),
  );
  plan.faults.forEach((fault) => scheduler.at(1_000 + fault.at, () => strike(fault)));
  scheduler.at(1_000 + HEALED_AT, () => {
    platform.setOutage(false);
    platform.setDelay(5);
    platform.loseAnswers(0);
  });
  scheduler.runUntil(1_000 + HEALED_AT + 2 * ADOPTION_MILLISECONDS);

  // The end

  const last = platform.stored()!.configurationObject;
  const settled = new Set(['outdated', 'invalid']);
  const numbersOf = (patchId: string) =>
    platform.history().filter(({ patches }) => patches.at(-1)?.patchId === patchId);

  outcomes.forEach((told, patchId) => {
    const stored = numbersOf(patchId);
    if (stored.length > 1) report('acceptedTwice', patchId);
    const final = told.at(-1)!;
    if (settled.has(final.status) && stored.length > 0) {
      report('refusedButStored', `${patchId}: ${final.status}`);
    }
    const isAccepted = told.some(({ status }) => status === 'accepted');
    if (isAccepted && !last.configuration.kinds[patchId]) report('acceptedPatchLost', patchId);
  });
  platform.history().forEach(({ number }, index) => {
    if (number !== index + 1) report('numberSkipped', `${number} as change ${index + 1}`);
  });
  proxies.forEach(({ number, configurationObject }, place) => {
    if (number !== last.number) {
      report('notInForce', `proxy ${place} has ${number}, the platform ${last.number}`);
    } else if (JSON.stringify(configurationObject) !== JSON.stringify(last)) {
      report('differentContent', `proxy ${place} at ${number}`);
    }
  });
  return { violations, trace, counts };
}
