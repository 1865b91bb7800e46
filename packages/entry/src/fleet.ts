import { makeDigest, parseDocument, serializeDocument } from '@dotterelpass/configuration';
import type { FleetDocuments, ServiceDocument } from '@dotterelpass/configuration';
import type { MessageBody, PeerTransport } from '@dotterelpass/peers';
import type { InstanceId, ServiceId } from '@dotterelpass/values';
import { z } from 'zod';
import type { ConfigWatcher } from './config.js';
import type { Members } from './gates.js';

const messageType = 'in-force';

/**
 * Longest wait for an instance's answer, in milliseconds. The operator's query takes as long, and an
 * instance that answers later is shown as unreachable.
 */
const answerTimeoutMs = 500;

const stateSchema = z.object({
  ready: z.boolean(),
  revisions: z.record(z.string(), z.number()),
  wentBack: z.array(z.string()),
});

/** The configuration that one entry instance has in force. */
export interface InstanceState {
  readonly instance: InstanceId;
  readonly state: 'live' | 'unreachable';
  /** Undefined, like the fields below, when the instance is unreachable. */
  readonly ready?: boolean;
  readonly revisions?: Readonly<Record<string, number>>;
  /** Services whose configuration in force the platform had lost when the instance last read it. */
  readonly wentBack?: readonly string[];
}

/** Reads the configuration in force on the other entry instances. */
export class FleetStatus implements FleetDocuments {
  readonly #hub: PeerTransport;

  readonly #members: Members;

  readonly #config: ConfigWatcher;

  constructor(hub: PeerTransport, members: Members, config: ConfigWatcher) {
    this.#hub = hub;
    this.#members = members;
    this.#config = config;
    hub.handle(messageType, (body) => this.#handleInForce(body));
  }

  /**
   * Requests the document of a service from the live peers.
   *
   * @param service - The service.
   * @returns The documents that differ from the one in force here.
   */
  async list(service: ServiceId): Promise<readonly ServiceDocument[]> {
    const own = this.#config.activeConfiguration.findDocument(service);
    const body = { service, hash: own ? makeDigest(own).hash : '' };
    const peers = this.#members.live.filter((instance) => instance !== this.#members.self);
    const answers = await Promise.all(
      peers.map((peer) => this.#hub.request(peer, messageType, body, answerTimeoutMs)),
    );
    return answers.flatMap((answer) => {
      if (answer.isErr() || typeof answer.value.document !== 'string') return [];
      const document = parseDocument(Buffer.from(answer.value.document));
      return document.isOk() && document.value.service.name === service ? [document.value] : [];
    });
  }

  /**
   * @returns The states of all entry instances that are live or have a peer address, sorted by name.
   */
  async listInstances(): Promise<readonly InstanceState[]> {
    const { self, live } = this.#members;
    const peers = new Set([...live, ...this.#hub.addresses.keys()]);
    peers.delete(self);
    const others = await Promise.all([...peers].map((peer) => this.#requestState(peer)));
    const own: InstanceState = { instance: self, state: 'live', ...this.#makeState() };
    return [own, ...others].sort((a, b) => (a.instance < b.instance ? -1 : 1));
  }

  async #requestState(instance: InstanceId): Promise<InstanceState> {
    const answer = await this.#hub.request(instance, messageType, {}, answerTimeoutMs);
    const state = answer.isOk() ? stateSchema.safeParse(answer.value) : undefined;
    if (!state?.success) return { instance, state: 'unreachable' };
    return { instance, state: 'live', ...state.data };
  }

  #handleInForce({ service, hash }: MessageBody): MessageBody {
    if (typeof service !== 'string') return { ...this.#makeState() };
    const document = this.#config.activeConfiguration.findDocument(service as ServiceId);
    if (!document || makeDigest(document).hash === hash) return {};
    return { document: serializeDocument(document).toString() };
  }

  #makeState(): z.infer<typeof stateSchema> {
    return {
      ready: this.#config.ready,
      revisions: Object.fromEntries(
        this.#config.digests.map(({ service, revision }) => [service, revision]),
      ),
      wentBack: this.#config.regressions.map(({ service }) => service),
    };
  }
}
