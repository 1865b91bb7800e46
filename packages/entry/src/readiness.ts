import { refuse } from '@dotterelpass/proxy';
import type { IncomingCall } from '@dotterelpass/proxy';
import type { ConfigWatcher } from './config.js';
import { makePreLookupRefusal } from './refusal.js';
import type { FleetMembers } from './members.js';

/** Refuses calls until this instance has a configuration and knows the fleet. */
export class ReadinessGate {
  readonly #config: Pick<ConfigWatcher, 'ready'>;

  readonly #members: Pick<FleetMembers, 'isReady'>;

  #hasBeenReady = false;

  /**
   * @param config - Reports whether a configuration was received from the platform or a peer.
   * @param members - Reports whether the platform's list was read or a peer was live.
   */
  constructor(config: Pick<ConfigWatcher, 'ready'>, members: Pick<FleetMembers, 'isReady'>) {
    this.#config = config;
    this.#members = members;
  }

  /** The status that `/readyz` reports unless the instance is stopping. */
  get isReady(): boolean {
    return this.#config.ready && this.#members.isReady;
  }

  /**
   * Whether calls are served. They are from the first time that the instance is ready, also while it
   * is stopping.
   */
  get isOpen(): boolean {
    this.#hasBeenReady ||= this.isReady;
    return this.#hasBeenReady;
  }

  /**
   * Refuses a call that arrived before the instance was ready.
   *
   * @param call - The call.
   */
  async refuse({ request, response, id }: IncomingCall): Promise<void> {
    const refusal = makePreLookupRefusal(request, {
      status: 503,
      verdict: 'not-run',
      message: 'this instance has no configuration yet',
      retryAfterSeconds: 1,
    });
    refuse(response, id, refusal);
  }
}
