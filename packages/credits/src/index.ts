export * from './pool.js';
