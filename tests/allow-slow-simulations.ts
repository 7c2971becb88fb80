import { expect, vi } from 'vitest';

/** Tests whose time is simulated; the machine's time limits them only if they hang. */
const SIMULATED_TESTS = /\/tools\/(?:world|fuzz)\//;

/** They take seconds alone and many times that beside other work. */
const SIMULATION_TIMEOUT_MILLISECONDS = 180_000;

if (SIMULATED_TESTS.test(expect.getState().testPath ?? '')) {
  vi.setConfig({ testTimeout: SIMULATION_TIMEOUT_MILLISECONDS });
}
