import { connect, createServer } from 'node:tls';
import type { Server, TLSSocket } from 'node:tls';
import type { AddressInfo } from 'node:net';
import { hkdfSync } from 'node:crypto';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { InstanceId } from '@dotterelpass/values';
import type { Logger } from '@dotterelpass/telemetry';
import { PeerLink } from './link.js';
import type { MessageBody, MessageHandler, InstanceIdentity, PeerError } from './message.js';

/** TLS 1.2 with a pre-shared key: both sides prove that they hold it, and traffic is encrypted. */
const ciphers = 'ECDHE-PSK-CHACHA20-POLY1305:ECDHE-PSK-AES128-CBC-SHA256';
const pskIdentity = 'dotterelpass';
const connectTimeoutMs = 1000;

/** Shortest shared key that is accepted, in characters. */
export const minPeerKeyLength = 16;

/** Derives a key for one purpose from the shared peer key. */
export function deriveKey(peerKey: string, purpose: string): Buffer {
  return Buffer.from(hkdfSync('sha256', peerKey, 'dotterelpass', purpose, 32));
}

/** Links to the other entry instances. Each instance opens one link for its own requests. */
export class PeerTransport {
  readonly #self: InstanceIdentity;

  readonly #psk: Buffer;

  readonly #log: Logger;

  readonly #server: Server;

  readonly #handlers = new Map<string, MessageHandler>();

  readonly #addresses = new Map<InstanceId, string>();

  readonly #links = new Map<InstanceId, Promise<Result<PeerLink, PeerError>>>();

  readonly #incoming = new Set<PeerLink>();

  #listeners: readonly ((instance: InstanceId) => void)[] = [];

  /**
   * @param self - Who this instance is.
   * @param peerKey - The key that all entry instances share.
   * @param log - Where refused connections are told.
   */
  constructor(self: InstanceIdentity, peerKey: string, log: Logger) {
    if (peerKey.length < minPeerKeyLength) {
      throw new RangeError(`the peer key has fewer than ${minPeerKeyLength} characters`);
    }
    this.#self = self;
    this.#psk = deriveKey(peerKey, 'peer links');
    this.#log = log;
    this.#server = createServer(
      {
        ciphers,
        maxVersion: 'TLSv1.2',
        handshakeTimeout: connectTimeoutMs,
        pskCallback: (_socket, identity) => (identity === pskIdentity ? this.#psk : null),
      },
      (socket) => this.#accept(socket),
    );
    this.#server.on('tlsClientError', (error) => {
      this.#log.warn('peer-refused', { reason: error.message });
    });
  }

  /**
   * Registers the answer to a type of message.
   *
   * @param type - The type.
   * @param handler - Its answer.
   * @throws RangeError when the type has a handler already.
   */
  handle(type: string, handler: MessageHandler): void {
    if (this.#handlers.has(type)) throw new RangeError(`${type} has a handler already`);
    this.#handlers.set(type, handler);
  }

  /**
   * Registers a function that is called when the link to a peer has closed.
   *
   * @param listener - The function.
   */
  addCloseListener(listener: (instance: InstanceId) => void): void {
    this.#listeners = [...this.#listeners, listener];
  }

  /**
   * Starts to listen for links.
   *
   * @returns The port.
   */
  async listen(ip: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, ip, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /**
   * Says where a peer listens. A changed address ends the link to the old one.
   *
   * @param instance - The peer.
   * @param address - IP address and port.
   */
  setAddress(instance: InstanceId, address: string): void {
    if (this.#addresses.get(instance) === address) return;
    this.#addresses.set(instance, address);
    this.#drop(instance);
  }

  /** Forgets a peer and ends the link to it. */
  removeAddress(instance: InstanceId): void {
    this.#addresses.delete(instance);
    this.#drop(instance);
  }

  /** The peers whose address is known. */
  get addresses(): ReadonlyMap<InstanceId, string> {
    return this.#addresses;
  }

  /**
   * Sends a message that needs no answer; it is lost when the peer cannot be reached.
   *
   * @param instance - The peer.
   * @param type - Type of the message.
   * @param body - Its fields.
   */
  send(instance: InstanceId, type: string, body: MessageBody = {}): void {
    void this.#reach(instance).then((link) => link.map((open) => open.send(type, body)));
  }

  /**
   * Sends a request and waits for its answer.
   *
   * @param instance - The peer.
   * @param type - Type of the request.
   * @param body - Its fields.
   * @param timeoutMs - Longest wait for the answer, in milliseconds.
   * @returns The answer. After `unreachable` and `refused` the peer has not acted; after any
   * other error it may have.
   */
  async request(
    instance: InstanceId,
    type: string,
    body: MessageBody,
    timeoutMs: number,
  ): Promise<Result<MessageBody, PeerError>> {
    const link = await this.#reach(instance);
    return link.isErr() ? err(link.error) : link.value.request(type, body, timeoutMs);
  }

  /** Stops listening and closes all links. */
  close(): void {
    this.#server.close();
    [...this.#addresses.keys()].forEach((instance) => this.removeAddress(instance));
    this.#incoming.forEach((link) => link.close());
  }

  #accept(socket: TLSSocket): void {
    socket.setNoDelay(true);
    const link = new PeerLink(socket, this.#self, this.#handlers);
    this.#incoming.add(link);
    link.onclose = () => this.#incoming.delete(link);
  }

  async #reach(instance: InstanceId): Promise<Result<PeerLink, PeerError>> {
    const known = this.#links.get(instance);
    if (known) return known;
    const address = this.#addresses.get(instance);
    if (!address) return err({ kind: 'unreachable', message: `no address for ${instance}` });
    const opening = this.#dial(address);
    this.#links.set(instance, opening);
    const link = await opening;
    if (link.isErr()) {
      if (this.#links.get(instance) === opening) this.#links.delete(instance);
      return link;
    }
    const forget = () => {
      if (this.#links.get(instance) === opening) this.#links.delete(instance);
      this.#listeners.forEach((listener) => listener(instance));
    };
    if (link.value.closed) forget();
    else link.value.onclose = forget;
    return link;
  }

  async #dial(address: string): Promise<Result<PeerLink, PeerError>> {
    const [host = '', port = ''] = address.split(':');
    return new Promise((resolve) => {
      const socket = connect({
        host,
        port: Number(port),
        ciphers,
        maxVersion: 'TLSv1.2',
        pskCallback: () => ({ psk: this.#psk, identity: pskIdentity }),
        // The shared key authenticates the peer; there is no certificate with a name.
        checkServerIdentity: () => undefined,
      });
      const timer = setTimeout(() => {
        socket.destroy(new Error(`no connection in ${connectTimeoutMs} ms`));
      }, connectTimeoutMs);
      const fail = (error: NodeJS.ErrnoException) => {
        clearTimeout(timer);
        const kind = error.code === 'ECONNREFUSED' ? 'refused' : 'unreachable';
        resolve(err({ kind, message: error.message }));
      };
      socket.once('error', fail);
      socket.once('secureConnect', () => {
        clearTimeout(timer);
        socket.off('error', fail);
        socket.setNoDelay(true);
        resolve(ok(new PeerLink(socket, this.#self, this.#handlers)));
      });
    });
  }

  #drop(instance: InstanceId): void {
    const opening = this.#links.get(instance);
    this.#links.delete(instance);
    void opening?.then((link) => link.map((open) => open.close()));
  }
}
