export * from './queue.js';
export * from './rate.js';
