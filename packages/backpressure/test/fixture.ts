import type { BackpressureSignal } from '@dotterelpass/backpressure';

/** Builds a signal that asks for nothing but what is given. */
export function buildSignal(signal: Partial<BackpressureSignal>): BackpressureSignal {
  return { maxRequestsPerSecond: undefined, isLeaving: false, quietMs: 0, ...signal };
}
