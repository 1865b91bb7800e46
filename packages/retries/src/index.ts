export * from './budget.js';
export * from './hedger.js';
export * from './policy.js';
