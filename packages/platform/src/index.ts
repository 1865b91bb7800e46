export * from './backoff.js';
export * from './budget.js';
export * from './client.js';
