export * from './caller.js';
export * from './headers.js';
export * from './pool.js';
