export * from './endpoint.js';
export * from './table.js';
