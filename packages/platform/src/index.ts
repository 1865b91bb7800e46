export * from './backoff.js';
export * from './client.js';
