export * from './state.js';
