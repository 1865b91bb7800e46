export * from './detector.js';
export * from './member.js';
export * from './message.js';
export * from './options.js';
