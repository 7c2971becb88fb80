import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['{packages,platform,stand-ins,tools,tests}/**/*.test.ts'],
    setupFiles: ['tests/skip-known-red.ts'],
    globalSetup: ['tests/build-before-tests.ts'],
    // Ends tests that hang; simulations take seconds alone and many times that beside other work.
    testTimeout: 180_000,
    hookTimeout: 30_000,
    pool: 'forks',
    maxWorkers: 6,
  },
});
