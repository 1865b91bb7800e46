export * from './pipe.js';
export * from './server.js';
export * from './store.js';
