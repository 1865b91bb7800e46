import type { Service, ServiceId } from '@dotterelpass/values';
import type { ServiceDocument } from './document.js';

/** What came of an offered document. */
export type OfferOutcome = 'applied' | 'known' | 'older' | 'conflicting';

/** The configuration in force on one instance. A service's revision only ever rises. */
export class InForce {
  #documents: ReadonlyMap<ServiceId, ServiceDocument> = new Map();

  #services: readonly Service[] = [];

  /** The services that are not removed. */
  get services(): readonly Service[] {
    return this.#services;
  }

  /** All documents, removed services included. */
  get documents(): ReadonlyMap<ServiceId, ServiceDocument> {
    return this.#documents;
  }

  /**
   * Puts a document in force if its revision is higher than the present one.
   *
   * @param document - A document from the platform or from a peer.
   * @returns `conflicting` when it has the present revision and another content.
   */
  offer(document: ServiceDocument): OfferOutcome {
    const present = this.#documents.get(document.service.name);
    if (present && document.revision < present.revision) return 'older';
    if (present && document.revision === present.revision) {
      return JSON.stringify(present) === JSON.stringify(document) ? 'known' : 'conflicting';
    }
    this.#documents = new Map(this.#documents).set(document.service.name, document);
    this.#services = [...this.#documents.values()]
      .filter(({ removed }) => !removed)
      .map(({ service }) => service);
    return 'applied';
  }
}
