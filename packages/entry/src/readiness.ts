import { refuse } from '@dotterelpass/proxy';
import type { IncomingCall } from '@dotterelpass/proxy';
import type { ConfigWatcher } from './config.js';
import { makePreLookupRefusal } from './refusal.js';
import type { FleetMembers } from './members.js';

/** Keeps calls out until this instance knows its configuration and its fleet. */
export class ReadinessGate {
  readonly #config: Pick<ConfigWatcher, 'ready'>;

  readonly #members: Pick<FleetMembers, 'isReady'>;

  #open = false;

  /**
   * @param config - Whether there is a configuration, from the platform or from a peer.
   * @param members - Whether the platform's list was read or a peer was heard.
   */
  constructor(config: Pick<ConfigWatcher, 'ready'>, members: Pick<FleetMembers, 'isReady'>) {
    this.#config = config;
    this.#members = members;
  }

  /** What `/readyz` says while the instance does not stop. */
  get isReady(): boolean {
    return this.#config.ready && this.#members.isReady;
  }

  /** Whether calls are served: from the first readiness on, also while the instance stops. */
  get isOpen(): boolean {
    this.#open ||= this.isReady;
    return this.#open;
  }

  /**
   * Answers a call that came too early.
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
