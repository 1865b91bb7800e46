export * from './transport.js';
export * from './connection.js';
export * from './message.js';
