import { createHash } from 'node:crypto';
import type { Service, ServiceId } from '@dotterelpass/values';
import type { ServiceDocument } from './document.js';
import { serializeDocument } from './document.js';
import { isSuccessor } from './history.js';

/**
 * The outcome of an activation: the document is active now, was active already, is older than the
 * active one, or contradicts it.
 */
export type ActivationOutcome = 'applied' | 'known' | 'older' | 'conflicting';

/** Identifies one revision of a service's configuration and its exact content. */
export interface DocumentDigest {
  readonly service: ServiceId;
  readonly revision: number;
  /** SHA-256 of the stored form in hexadecimal. */
  readonly hash: string;
}

interface ActiveDocument {
  readonly document: ServiceDocument;
  readonly digest: DocumentDigest;
}

/**
 * Computes the digest of a document.
 *
 * @param document - The document as returned by `parseDocument`.
 * @returns Its digest; equal digests mean equal documents.
 */
export function makeDigest(document: ServiceDocument): DocumentDigest {
  return {
    service: document.service.name,
    revision: document.revision,
    hash: createHash('sha256').update(serializeDocument(document)).digest('hex'),
  };
}

/** The configuration that one instance uses. The revision of a service never decreases. */
export class ActiveConfiguration {
  #active: ReadonlyMap<ServiceId, ActiveDocument> = new Map();

  #services: readonly Service[] = [];

  #listeners: readonly ((document: ServiceDocument) => void)[] = [];

  /** All services except removed ones. */
  get services(): readonly Service[] {
    return this.#services;
  }

  /** The documents of all services, including removed ones. */
  get documents(): ReadonlyMap<ServiceId, ServiceDocument> {
    return new Map([...this.#active].map(([name, { document }]) => [name, document]));
  }

  /** The digests of all documents, including those of removed services. */
  get digests(): readonly DocumentDigest[] {
    return [...this.#active.values()].map(({ digest }) => digest);
  }

  /** @returns The active document; a removed service has one, too. */
  findDocument(service: ServiceId): ServiceDocument | undefined {
    return this.#active.get(service)?.document;
  }

  /**
   * Registers a function that is called with each document after its activation.
   *
   * @param listener - The function.
   */
  watch(listener: (document: ServiceDocument) => void): void {
    this.#listeners = [...this.#listeners, listener];
  }

  /**
   * Activates a document if its revision is higher than that of the active one.
   *
   * @param document - A document from the platform or from a peer.
   * @returns `conflicting` when the document has the active revision with other content, or has a
   * higher revision but lacks the newest decision of the active document.
   */
  activate(document: ServiceDocument): ActivationOutcome {
    const { name } = document.service;
    const active = this.#active.get(name);
    if (active && document.revision < active.document.revision) return 'older';
    if (active && document.revision > active.document.revision) {
      if (!isSuccessor(active.document, document)) return 'conflicting';
    }
    const digest = makeDigest(document);
    if (active && document.revision === active.document.revision) {
      return active.digest.hash === digest.hash ? 'known' : 'conflicting';
    }
    this.#active = new Map(this.#active).set(name, { document, digest });
    this.#services = [...this.#active.values()]
      .filter((item) => !item.document.removed)
      .map((item) => item.document.service);
    this.#listeners.forEach((listener) => listener(document));
    return 'applied';
  }
}
