export * from './backoff.js';
export * from './budget.js';
export * from './consul.js';
export * from './store.js';
export {
  HttpTransport as HttpTransport,
  parseJson as parseJson,
  toStatusError,
} from './transport.js';
export type {
  TransportResponse as TransportResponse,
  TransportCall,
  TransportOptions,
} from './transport.js';
