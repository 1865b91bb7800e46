export * from './hub.js';
export * from './link.js';
export * from './message.js';
