import { randomBytes } from 'node:crypto';
import type { PeerHub } from '@dotterelpass/peers';
import type { Incarnation, InstanceId } from '@dotterelpass/values';
import type { Members } from './gates.js';

/** @returns A new incarnation: the start time and random digits, so that no two are equal. */
export function makeIncarnation(): Incarnation {
  return `${Date.now()}-${randomBytes(4).toString('hex')}` as Incarnation;
}

/** The configured peers, which count as live while their last hello was answered. */
export class ConfiguredMembers implements Members {
  readonly self: InstanceId;

  readonly #incarnations = new Map<InstanceId, Incarnation>();

  readonly #hub: PeerHub;

  #listeners: readonly (() => void)[] = [];

  constructor(self: InstanceId, incarnation: Incarnation, hub: PeerHub) {
    this.self = self;
    this.#hub = hub;
    this.#incarnations.set(self, incarnation);
    hub.handle('hello', () => ({ incarnation }));
  }

  get live(): readonly InstanceId[] {
    return [...this.#incarnations.keys()].sort();
  }

  findIncarnation(instance: InstanceId): Incarnation | undefined {
    return this.#incarnations.get(instance);
  }

  watch(listener: () => void): void {
    this.#listeners = [...this.#listeners, listener];
  }

  /** Asks every known peer whether it is there. */
  async refresh(): Promise<void> {
    const before = JSON.stringify([...this.#incarnations].sort());
    await Promise.all(
      [...this.#hub.known.keys()].map(async (instance) => {
        const answer = await this.#hub.request(instance, 'hello', {}, 1000);
        if (answer.isOk()) {
          this.#incarnations.set(instance, answer.value.incarnation as Incarnation);
        } else this.#incarnations.delete(instance);
      }),
    );
    if (JSON.stringify([...this.#incarnations].sort()) !== before) {
      this.#listeners.forEach((listener) => listener());
    }
  }
}
