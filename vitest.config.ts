import { defineConfig } from 'vitest/config';

export default defineConfig({
  test: {
    include: ['packages/*/test/**/*.test.ts', 'platform/test/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    // Integration tests start real processes; more workers would disturb their timers.
    maxWorkers: 4,
    reporters: ['default'],
  },
});
