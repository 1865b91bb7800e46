export * from './identification.js';
export * from './table.js';
export * from './workspace.js';
