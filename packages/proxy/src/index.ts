export * from './body.js';
export * from './caller.js';
export * from './forward.js';
export * from './framing.js';
export * from './headers.js';
export * from './pool.js';
export * from './refusal.js';
export * from './silence.js';
