export * from './client.js';
export * from './grammar.js';
export * from './language.js';
export * from './print.js';
export * from './session.js';
