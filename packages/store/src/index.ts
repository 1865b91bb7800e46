export * from './backoff.js';
export * from './budget.js';
export * from './consul.js';
export * from './store.js';
export { HttpTransport, parseJson, toStatusError } from './transport.js';
export type { TransportResponse, TransportRequest, TransportOptions } from './transport.js';
