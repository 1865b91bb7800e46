export * from './balancer.js';
export * from './calls.js';
export * from './claims.js';
export * from './config.js';
export * from './once.js';
export * from './operator.js';
