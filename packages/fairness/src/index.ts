export * from './order.js';
export * from './queue.js';
export * from './rate.js';
export * from './share.js';
