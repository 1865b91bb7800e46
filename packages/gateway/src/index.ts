export * from './catalog.js';
export * from './dialect.js';
export * from './feed.js';
export * from './gateway.js';
export * from './instance.js';
export * from './registry.js';
export * from './routes.js';
