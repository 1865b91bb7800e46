export * from './catalog.js';
export * from './codec.js';
export * from './replica.js';
export * from './gateway.js';
export * from './instance.js';
export * from './registry.js';
export * from './routes.js';
