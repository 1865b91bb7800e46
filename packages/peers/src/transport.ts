import { connect, createServer } from 'node:tls';
import type { Server, TLSSocket } from 'node:tls';
import type { AddressInfo } from 'node:net';
import { hkdfSync } from 'node:crypto';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { InstanceId } from '@dotterelpass/values';
import type { Logger } from '@dotterelpass/telemetry';
import { PeerConnection } from './connection.js';
import type { MessageBody, MessageHandler, InstanceIdentity, PeerError } from './message.js';

/** TLS 1.2 with a pre-shared key: each side proves that it has the key; traffic is encrypted. */
const ciphers = 'ECDHE-PSK-CHACHA20-POLY1305:ECDHE-PSK-AES128-CBC-SHA256';
const pskIdentity = 'dotterelpass';
const connectTimeoutMs = 1000;

/** Minimum length of the shared key, in characters. */
export const minPeerKeyLength = 16;

/**
 * Derives a key for one purpose from the shared peer key.
 *
 * @param peerKey - The key that all instances share.
 * @param purpose - Name of the purpose. All instances must pass the same text.
 */
export function deriveKey(peerKey: string, purpose: string): Buffer {
  return Buffer.from(hkdfSync('sha256', peerKey, 'dotterelpass', purpose, 32));
}

/**
 * Exchanges messages with the other instances. Each instance opens one connection per peer for the
 * messages and requests that it sends, and receives those of its peers on connections that they
 * open.
 */
export class PeerTransport {
  readonly #self: InstanceIdentity;

  readonly #psk: Buffer;

  readonly #log: Logger;

  readonly #server: Server;

  readonly #handlers = new Map<string, MessageHandler>();

  readonly #addresses = new Map<InstanceId, string>();

  readonly #outgoing = new Map<InstanceId, Promise<Result<PeerConnection, PeerError>>>();

  readonly #incoming = new Set<PeerConnection>();

  #closeListeners: readonly ((instance: InstanceId) => void)[] = [];

  /**
   * @param self - Identity of this instance, sent with every message.
   * @param peerKey - The key that all instances share.
   * @param log - Logs connections that failed authentication.
   */
  constructor(self: InstanceIdentity, peerKey: string, log: Logger) {
    if (peerKey.length < minPeerKeyLength) {
      throw new RangeError(`the peer key is shorter than ${minPeerKeyLength} characters`);
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
   * Registers the handler of a message type.
   *
   * @param type - The message type.
   * @param handler - Handles each message of this type; its result is the response to a request.
   * @throws RangeError when the type already has a handler.
   */
  handle(type: string, handler: MessageHandler): void {
    if (this.#handlers.has(type)) throw new RangeError(`${type} already has a handler`);
    this.#handlers.set(type, handler);
  }

  /**
   * Registers a function that is called when the outgoing connection to a peer has closed.
   *
   * @param listener - Called with the peer.
   */
  addCloseListener(listener: (instance: InstanceId) => void): void {
    this.#closeListeners = [...this.#closeListeners, listener];
  }

  /**
   * Starts to listen for connections from peers.
   *
   * @param ip - IP address to listen on.
   * @param port - Port, 0 for any free port.
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
   * Sets the address of a peer. A changed address closes the connection to the previous address.
   *
   * @param instance - The peer.
   * @param address - IP address and port.
   */
  setAddress(instance: InstanceId, address: string): void {
    if (this.#addresses.get(instance) === address) return;
    this.#addresses.set(instance, address);
    this.#closeConnection(instance);
  }

  /** Removes a peer and closes the connection to it. */
  removeAddress(instance: InstanceId): void {
    this.#addresses.delete(instance);
    this.#closeConnection(instance);
  }

  /** Addresses of the peers. */
  get addresses(): ReadonlyMap<InstanceId, string> {
    return this.#addresses;
  }

  /**
   * Sends a message without waiting for a response. The message is lost when the peer cannot be
   * reached.
   *
   * @param instance - The peer.
   * @param type - Type of the message.
   * @param body - Body of the message.
   */
  send(instance: InstanceId, type: string, body: MessageBody = {}): void {
    void this.#getConnection(instance).then((result) =>
      result.map((connection) => connection.send(type, body)),
    );
  }

  /**
   * Sends a request and waits for its response.
   *
   * @param instance - The peer.
   * @param type - Type of the request.
   * @param body - Body of the request.
   * @param timeoutMs - Time limit for the response once connected, in milliseconds.
   * @param maxTransferMs - Time by which a large response that keeps arriving may exceed the limit, in
   * milliseconds.
   * @returns The body of the response. After the errors `unreachable` and `refused` the peer has
   * not received the request; after any other error it may have handled the request.
   */
  async request(
    instance: InstanceId,
    type: string,
    body: MessageBody,
    timeoutMs: number,
    maxTransferMs = 0,
  ): Promise<Result<MessageBody, PeerError>> {
    const connection = await this.#getConnection(instance);
    return connection.isErr()
      ? err(connection.error)
      : connection.value.request(type, body, timeoutMs, maxTransferMs);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    [...this.#addresses.keys()].forEach((instance) => this.removeAddress(instance));
    this.#incoming.forEach((connection) => connection.close());
  }

  #accept(socket: TLSSocket): void {
    socket.setNoDelay(true);
    const connection = new PeerConnection(socket, this.#self, this.#handlers);
    this.#incoming.add(connection);
    connection.onclose = () => this.#incoming.delete(connection);
  }

  async #getConnection(instance: InstanceId): Promise<Result<PeerConnection, PeerError>> {
    const existing = this.#outgoing.get(instance);
    if (existing) return existing;
    const address = this.#addresses.get(instance);
    if (!address) return err({ kind: 'unreachable', message: `no address for ${instance}` });
    const opening = this.#connect(address);
    this.#outgoing.set(instance, opening);
    const connection = await opening;
    if (connection.isErr()) {
      if (this.#outgoing.get(instance) === opening) this.#outgoing.delete(instance);
      return connection;
    }
    const onClose = () => {
      if (this.#outgoing.get(instance) === opening) this.#outgoing.delete(instance);
      this.#closeListeners.forEach((listener) => listener(instance));
    };
    if (connection.value.closed) onClose();
    else connection.value.onclose = onClose;
    return connection;
  }

  async #connect(address: string): Promise<Result<PeerConnection, PeerError>> {
    const [host = '', port = ''] = address.split(':');
    return new Promise((resolve) => {
      const socket = connect({
        host,
        port: Number(port),
        ciphers,
        maxVersion: 'TLSv1.2',
        pskCallback: () => ({ psk: this.#psk, identity: pskIdentity }),
        // The shared key authenticates the peer; there is no certificate with a name to check.
        checkServerIdentity: () => undefined,
      });
      const timer = setTimeout(() => {
        socket.destroy(new Error(`no connection within ${connectTimeoutMs} ms`));
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
        resolve(ok(new PeerConnection(socket, this.#self, this.#handlers)));
      });
    });
  }

  #closeConnection(instance: InstanceId): void {
    const opening = this.#outgoing.get(instance);
    this.#outgoing.delete(instance);
    void opening?.then((result) => result.map((connection) => connection.close()));
  }
}
