export * from './backoff.js';
export * from './budget.js';
export * from './client.js';
export * from './store.js';
export { HttpTransport, parseJson, toStatusError } from './transport.js';
export type { TransportResponse, TransportCall, TransportOptions } from './transport.js';
