import { EndpointBackpressure } from '@dotterelpass/backpressure';
import { makeRandom } from '@dotterelpass/values';
import type { Clock } from '@dotterelpass/values';

/** Creates the backpressure of an endpoint for a fleet of one instance. */
export function createBackpressure(clock: Clock): EndpointBackpressure {
  return new EndpointBackpressure({ clock, random: makeRandom(1), getFleetSize: () => 1 });
}
