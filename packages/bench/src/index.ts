export * from './cluster.js';
