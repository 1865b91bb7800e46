export * from './arrivals.js';
export * from './plan.js';
export * from './plot.js';
export * from './report.js';
export * from './runner.js';
