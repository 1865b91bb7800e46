export * from './arbiter.js';
export * from './attempts.js';
export * from './claim.js';
export * from './journal.js';
export * from './platform.js';
export * from './table.js';
export * from './ticket.js';
