import { createHash } from 'node:crypto';
import type { Service, ServiceId } from '@dotterelpass/values';
import type { ServiceDocument } from './document.js';
import { serializeDocument } from './document.js';
import { isSuccessor } from './history.js';

/** What came of an offered document. */
export type ActivationOutcome = 'applied' | 'known' | 'older' | 'conflicting';

/** Names one revision of one service's configuration and its exact content. */
export interface DocumentDigest {
  readonly service: ServiceId;
  readonly revision: number;
  /** SHA-256 of the stored form, in hexadecimal. */
  readonly hash: string;
}

interface Held {
  readonly document: ServiceDocument;
  readonly digest: DocumentDigest;
}

/**
 * Makes the digest of a document.
 *
 * @param document - The document, as `readDocument` gave it.
 * @returns Its digest; equal digests mean equal documents.
 */
export function makeDigest(document: ServiceDocument): DocumentDigest {
  return {
    service: document.service.name,
    revision: document.revision,
    hash: createHash('sha256').update(serializeDocument(document)).digest('hex'),
  };
}

/** The configuration in force on one instance. A service's revision only ever rises. */
export class ActiveConfiguration {
  #held: ReadonlyMap<ServiceId, Held> = new Map();

  #services: readonly Service[] = [];

  #listeners: readonly ((document: ServiceDocument) => void)[] = [];

  /** The services that are not removed. */
  get services(): readonly Service[] {
    return this.#services;
  }

  /** All documents, removed services included. */
  get documents(): ReadonlyMap<ServiceId, ServiceDocument> {
    return new Map([...this.#held].map(([name, { document }]) => [name, document]));
  }

  /** The digests of all documents, removed services included. */
  get digests(): readonly DocumentDigest[] {
    return [...this.#held.values()].map(({ digest }) => digest);
  }

  /** @returns The document in force, that of a removed service included. */
  findDocument(service: ServiceId): ServiceDocument | undefined {
    return this.#held.get(service)?.document;
  }

  /**
   * Registers a function that is called with each document after it came in force.
   *
   * @param listener - The function.
   */
  watch(listener: (document: ServiceDocument) => void): void {
    this.#listeners = [...this.#listeners, listener];
  }

  /**
   * Puts a document in force if its revision is higher than the present one.
   *
   * @param document - A document from the platform or from a peer.
   * @returns `conflicting` when it has the present revision and another content, or a higher
   * revision that lacks the newest decision of the present one.
   */
  activate(document: ServiceDocument): ActivationOutcome {
    const { name } = document.service;
    const present = this.#held.get(name);
    if (present && document.revision < present.document.revision) return 'older';
    if (present && document.revision > present.document.revision) {
      if (!isSuccessor(present.document, document)) return 'conflicting';
    }
    const digest = makeDigest(document);
    if (present && document.revision === present.document.revision) {
      return present.digest.hash === digest.hash ? 'known' : 'conflicting';
    }
    this.#held = new Map(this.#held).set(name, { document, digest });
    this.#services = [...this.#held.values()]
      .filter((held) => !held.document.removed)
      .map((held) => held.document.service);
    this.#listeners.forEach((listener) => listener(document));
    return 'applied';
  }
}
