import { parseDocument, serializeDocument } from '@dotterelpass/configuration';
import type {
  DocumentStore,
  ServiceDocument,
  StoredDocument,
  StoreError,
} from '@dotterelpass/configuration';
import type { ConsulClient } from '@dotterelpass/store';
import type { ServiceId } from '@dotterelpass/values';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { servicePrefix } from './config.js';

/** Stores service documents in the platform's key-value store. */
export class PlatformDocumentStore implements DocumentStore {
  readonly #platform: Pick<ConsulClient, 'read' | 'compareAndSwap'>;

  constructor(platform: Pick<ConsulClient, 'read' | 'compareAndSwap'>) {
    this.#platform = platform;
  }

  async read(service: ServiceId): Promise<Result<StoredDocument, StoreError>> {
    const reading = await this.#platform.read(servicePrefix + service, { consistent: true });
    if (reading.isErr()) return err({ message: reading.error.message, applied: 'no' });
    const [entry] = reading.value.entries;
    if (!entry) return ok({ document: undefined, modifyIndex: 0 });
    return parseDocument(entry.value)
      .map((document) => ({ document, modifyIndex: entry.modifyIndex }))
      .mapErr((reason) => ({
        message: `cannot parse the document of ${service}: ${reason}`,
        applied: 'no',
      }));
  }

  async write(
    document: ServiceDocument,
    modifyIndex: number,
  ): Promise<Result<boolean, StoreError>> {
    const key = servicePrefix + document.service.name;
    return this.#platform.compareAndSwap(key, serializeDocument(document), modifyIndex);
  }

  /**
   * Reads the documents of all services.
   *
   * @returns The documents that can be parsed; all others are skipped.
   */
  async list(): Promise<Result<readonly ServiceDocument[], StoreError>> {
    const reading = await this.#platform.read(servicePrefix, { recurse: true, consistent: true });
    if (reading.isErr()) return err({ message: reading.error.message, applied: 'no' });
    return ok(
      reading.value.entries.flatMap(({ value }) => {
        const document = parseDocument(value);
        return document.isOk() ? [document.value] : [];
      }),
    );
  }
}
