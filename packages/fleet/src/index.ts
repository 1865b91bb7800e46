export { Fleet } from './fleet.js';
export type { FleetUpdate } from './fleet.js';
export type { Peer } from './peer.js';
