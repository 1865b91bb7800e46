export * from './workspace.js';
