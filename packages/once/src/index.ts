export * from './arbiter.js';
export * from './claim.js';
export * from './executions.js';
export * from './journal.js';
export * from './platform.js';
export * from './table.js';
export * from './ticket.js';
