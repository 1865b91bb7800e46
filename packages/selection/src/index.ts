export * from './policy.js';
export * from './health.js';
