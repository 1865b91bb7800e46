export * from './cluster.js';
export * from './deployment.js';
export * from './fleet.js';
export * from './history.js';
export * from './scenario.js';
