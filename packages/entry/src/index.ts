export * from './balancer.js';
export * from './calls.js';
export * from './config.js';
export * from './operator.js';
export * from './desk.js';
export * from './documents.js';
export * from './fleet.js';
export * from './queries.js';
