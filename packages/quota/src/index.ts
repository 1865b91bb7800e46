export * from './bounds.js';
export * from './client.js';
export * from './coordinator.js';
export * from './groups.js';
export * from './limit.js';
export * from './limiter.js';
export * from './message.js';
export * from './window.js';
