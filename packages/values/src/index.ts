export * from './address.js';
export * from './bytes.js';
export * from './ids.js';
export * from './verdict.js';
export * from './clock.js';
export * from './random.js';
export * from './hash.js';
export * from './service.js';
