import type { Loan } from '@dotterelpass/credits';
import type { MessageBody, PeerTransport } from '@dotterelpass/peers';
import type { Clock, EndpointId, InstanceId, ServiceId } from '@dotterelpass/values';
import { z } from 'zod';
import type { Members } from './gates.js';

/** The load of one service on one entry instance. */
export interface ServiceLoad {
  /** Free credits that the instance could lend. */
  readonly free: number;
  readonly inFlight: number;
  readonly queued: number;
  /** Calls in flight by endpoint; endpoints without calls are omitted. */
  readonly calls: Readonly<Record<string, number>>;
}

/** The load of one service on a peer, as last received. */
export interface PeerLoad extends ServiceLoad {
  /**
   * Finds the maximum number of calls on an endpoint in the last two messages, since the state in a
   * message is already out of date when it arrives.
   */
  findRecentMax(endpoint: EndpointId): number;
}

/** A request to borrow credits. */
export interface LoanRequest {
  readonly wanted: number;
  /** Calls queued at the borrower. */
  readonly queued: number;
  /** Lendable credits of the borrower. */
  readonly free: number;
  /** Loans to extend. */
  readonly renew: readonly Loan[];
  /** Restricts the request to this endpoint, which the borrower reserves for an exclusive call. */
  readonly only?: EndpointId | undefined;
}

/** A service whose credits are shared with peers. */
export interface SharedService {
  /** Reads the load to send to peers. */
  readLoad(): ServiceLoad;
  lend(peer: InstanceId, request: LoanRequest): readonly Loan[];
  /** Lends credits, without a request, to a peer with queued calls. */
  offerLoans(peer: InstanceId, load: ServiceLoad): readonly Loan[];
  /** @param startedAt - Time, by the clock of this instance, from which the loans run. */
  receiveLoans(peer: InstanceId, loans: readonly Loan[], startedAt: number): void;
  receiveReturn(peer: InstanceId, loans: readonly Loan[]): void;
}

const loanSchema = z.object({
  endpoint: z.string().transform((text) => text as EndpointId),
  index: z.number().int().min(0),
  loan: z.number().int(),
});
const loansSchema = z.array(loanSchema).max(4096);
const count = z.number().int().min(0);
const loadSchema = z.object({
  free: count,
  inFlight: count,
  queued: count,
  calls: z.record(z.string(), count),
});
const messageSchemas = {
  loads: z.object({
    at: z.number(),
    services: z.record(z.string(), loadSchema),
    leaving: z.array(z.string()).max(10_000),
  }),
  borrow: z.object({
    service: z.string(),
    at: z.number(),
    wanted: count,
    queued: count,
    free: count,
    renew: loansSchema,
    only: z
      .string()
      .transform((text) => text as EndpointId)
      .optional(),
  }),
  lend: z.object({ service: z.string(), at: z.number(), loans: loansSchema }),
  return: z.object({ service: z.string(), loans: loansSchema }),
};

/** Shortest time between two `loads` messages after an urgent change, as when calls are queued. */
const urgentIntervalMs = 5;
/** The same after other changes: while no call is queued, peers do not need the load at once. */
const changeIntervalMs = 25;
/** Longest time between two `loads` messages. */
const idleIntervalMs = 500;
/** The load of a peer is ignored after this time without a message. */
const staleMs = 1000;

interface ReceivedLoad extends PeerLoad {
  /** Time at which this instance received the load. */
  readonly receivedAt: number;
  /** Time at which the peer sent it, by the peer's clock. */
  readonly sentAt: number;
}

/** The part of `PeerTransport` that the exchange uses. */
export type PeerSender = Pick<PeerTransport, 'handle' | 'send'>;

/** Provides the state that the exchange sends to peers, and handles what it receives. */
export interface ExchangeDelegate {
  /** Services of this instance whose credits are shared. */
  readonly sharedServices: ReadonlyMap<ServiceId, SharedService>;
  /** Addresses of leaving endpoints to announce to peers. */
  readonly leavingAddresses: readonly string[];
  receiveLeavingAddresses(addresses: readonly string[]): void;
}

/** Sends the loads of this instance to peers, and exchanges loans of credits with them. */
export class LoadExchange {
  readonly #transport: PeerSender;

  readonly #members: Members;

  readonly #clock: Clock;

  readonly #delegate: ExchangeDelegate;

  readonly #peerLoads = new Map<ServiceId, Map<InstanceId, ReceivedLoad>>();

  #sentAt = 0;

  #hasUnsentChanges = false;

  #isUrgent = false;

  /**
   * @param transport - Messages to and from peers.
   * @param members - Live entry instances.
   * @param clock - Source of time.
   * @param delegate - Provides the state to send, and handles received messages.
   */
  constructor(transport: PeerSender, members: Members, clock: Clock, delegate: ExchangeDelegate) {
    this.#transport = transport;
    this.#members = members;
    this.#clock = clock;
    this.#delegate = delegate;
    transport.handle('loads', (body, from) => this.#receiveLoads(from.instance, body));
    transport.handle('borrow', (body, from) => this.#receiveBorrow(from.instance, body));
    transport.handle('lend', (body, from) => this.#receiveLend(from.instance, body));
    transport.handle('return', (body, from) => this.#receiveReturn(from.instance, body));
  }

  /** Whether there are changes that have not been sent to peers. */
  get hasUnsentChanges(): boolean {
    return this.#hasUnsentChanges;
  }

  /** @param isUrgent - Whether to send the change to peers without delay. */
  recordChange(isUrgent: boolean): void {
    this.#hasUnsentChanges = true;
    this.#isUrgent ||= isUrgent;
    if (isUrgent) this.sendIfDue();
  }

  /**
   * Lists the loads of a service on live peers, as last received.
   *
   * @returns The loads by peer.
   */
  listLoads(service: ServiceId): ReadonlyMap<InstanceId, PeerLoad> {
    const oldest = this.#clock.now() - staleMs;
    const received = [...(this.#peerLoads.get(service) ?? [])];
    const { live } = this.#members;
    return new Map(
      received.filter(([peer, { receivedAt }]) => receivedAt > oldest && live.includes(peer)),
    );
  }

  /** Requests credits from a peer, or the extension of loans from it. */
  requestLoans(service: ServiceId, peer: InstanceId, request: LoanRequest): void {
    this.#transport.send(peer, 'borrow', { service, at: this.#clock.now(), ...request });
  }

  /** Lends credits without a request; the loans run from the peer's last `loads` message. */
  sendLoans(service: ServiceId, peer: InstanceId, loans: readonly Loan[]): void {
    const load = this.#peerLoads.get(service)?.get(peer);
    if (load) this.#sendLoans(peer, service, load.sentAt, loans);
  }

  /** Returns loans to a peer. */
  sendReturn(service: ServiceId, peer: InstanceId, loans: readonly Loan[]): void {
    this.#transport.send(peer, 'return', { service, loans });
  }

  /** Sends the loads to peers if a message is due. */
  sendIfDue(): void {
    const now = this.#clock.now();
    const elapsedMs = now - this.#sentAt;
    let waitMs = idleIntervalMs;
    if (this.#hasUnsentChanges) waitMs = this.#isUrgent ? urgentIntervalMs : changeIntervalMs;
    if (elapsedMs < waitMs) return;
    this.#sentAt = now;
    this.#hasUnsentChanges = false;
    this.#isUrgent = false;
    const services = Object.fromEntries(
      [...this.#delegate.sharedServices].map(([name, service]) => [name, service.readLoad()]),
    );
    const { leavingAddresses: leaving } = this.#delegate;
    this.#members.live.forEach((peer) => {
      if (peer !== this.#members.self)
        this.#transport.send(peer, 'loads', { at: now, services, leaving });
    });
  }

  #receiveLoads(peer: InstanceId, body: MessageBody): MessageBody {
    const message = messageSchemas.loads.parse(body);
    this.#delegate.receiveLeavingAddresses(message.leaving);
    Object.entries(message.services).forEach(([key, load]) => {
      const name = key as ServiceId;
      const loads = this.#peerLoads.get(name) ?? new Map<InstanceId, ReceivedLoad>();
      this.#peerLoads.set(name, loads);
      const previousCalls = loads.get(peer)?.calls ?? {};
      loads.set(peer, {
        ...load,
        receivedAt: this.#clock.now(),
        sentAt: message.at,
        findRecentMax: (id) => Math.max(load.calls[id] ?? 0, previousCalls[id] ?? 0),
      });
      const loans =
        load.queued > 0
          ? (this.#delegate.sharedServices.get(name)?.offerLoans(peer, load) ?? [])
          : [];
      this.#sendLoans(peer, name, message.at, loans);
    });
    return {};
  }

  #receiveBorrow(peer: InstanceId, body: MessageBody): MessageBody {
    const { service, at, ...request } = messageSchemas.borrow.parse(body);
    const loans = this.#delegate.sharedServices.get(service as ServiceId)?.lend(peer, request);
    this.#sendLoans(peer, service, at, loans ?? []);
    return {};
  }

  #receiveLend(peer: InstanceId, body: MessageBody): MessageBody {
    const { service, at, loans } = messageSchemas.lend.parse(body);
    this.#delegate.sharedServices.get(service as ServiceId)?.receiveLoans(peer, loans, at);
    return {};
  }

  #receiveReturn(peer: InstanceId, body: MessageBody): MessageBody {
    const { service, loans } = messageSchemas.return.parse(body);
    this.#delegate.sharedServices.get(service as ServiceId)?.receiveReturn(peer, loans);
    return {};
  }

  /** `at` is a time by the borrower's clock, from which the loans run. */
  #sendLoans(peer: InstanceId, service: string, at: number, loans: readonly Loan[]): void {
    if (loans.length > 0) this.#transport.send(peer, 'lend', { service, at, loans });
  }
}
