export * from './server.js';
export * from './store.js';
