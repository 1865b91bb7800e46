export * from './limiter.js';
