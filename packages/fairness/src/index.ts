export * from './order.js';
