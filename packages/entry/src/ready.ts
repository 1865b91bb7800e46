import { randomUUID } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import { refuse } from '@dotterelpass/proxy';
import type { RequestId } from '@dotterelpass/values';
import type { ConfigFeed } from './config.js';
import type { FleetMembers } from './peers.js';

/** Keeps calls out until this instance knows its configuration and its fleet. */
export class ReadyGate {
  readonly #config: Pick<ConfigFeed, 'ready'>;

  readonly #members: Pick<FleetMembers, 'isReady'>;

  #open = false;

  /**
   * @param config - Whether there is a configuration, from the platform or from a peer.
   * @param members - Whether the platform's list was read or a peer was heard.
   */
  constructor(config: Pick<ConfigFeed, 'ready'>, members: Pick<FleetMembers, 'isReady'>) {
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
   * @param response - Where the answer goes.
   */
  async refuse(response: ServerResponse): Promise<void> {
    refuse(response, randomUUID() as RequestId, {
      status: 503,
      verdict: 'not-run',
      message: 'this instance has no configuration yet',
      retryAfterSeconds: 1,
    });
  }
}
