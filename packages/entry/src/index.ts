export * from './balancer.js';
export * from './calls.js';
export * from './config.js';
export * from './operator.js';
