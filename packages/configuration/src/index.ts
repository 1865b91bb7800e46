export * from './document.js';
export * from './force.js';
