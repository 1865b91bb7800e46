export * from './cluster.js';
export * from './deployment.js';
export * from './fleet.js';
export * from './scenario.js';
