export * from './acceptor.js';
export * from './active.js';
export * from './apply.js';
export * from './commands.js';
export * from './document.js';
export * from './history.js';
export * from './restore.js';
export * from './text.js';
