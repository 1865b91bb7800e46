export * from './backoff.js';
export * from './budget.js';
export * from './client.js';
export * from './store.js';
export { Transport, readJson, toStatusError } from './transport.js';
export type { TransportAnswer, TransportCall, TransportOptions } from './transport.js';
