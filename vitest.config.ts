import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['{packages,platform,stand-ins,tools,tests}/**/*.test.ts'],
    setupFiles: ['tests/skip-known-red.ts', 'tests/allow-slow-simulations.ts'],
    globalSetup: ['tests/build-before-tests.ts'],
    testTimeout: 30_000,
    hookTimeout: 30_000,
    pool: 'forks',
    maxWorkers: 6,
  },
});
