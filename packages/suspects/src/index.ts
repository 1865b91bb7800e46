export * from './evidence.js';
export * from './runs.js';
export * from './table.js';
