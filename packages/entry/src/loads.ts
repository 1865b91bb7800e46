import type { Loan } from '@dotterelpass/credits';
import type { MessageBody, PeerTransport } from '@dotterelpass/peers';
import type { Clock, EndpointId, InstanceId, ServiceId } from '@dotterelpass/values';
import { z } from 'zod';
import type { Members } from './gates.js';

/** The load of one service on one entry instance. */
export interface ServiceLoad {
  /** Free credits that it could lend. */
  readonly free: number;
  readonly inFlight: number;
  readonly queued: number;
  /** Calls in flight by endpoint; endpoints without calls are left out. */
  readonly calls: Readonly<Record<string, number>>;
}

/** What a peer has told. */
export interface PeerLoad extends ServiceLoad {
  /** The most calls on an endpoint in recent messages: reports tell of a moment before now. */
  countRecent(endpoint: EndpointId): number;
}

/** A question for credits. */
export interface LoanRequest {
  readonly wanted: number;
  /** Calls that wait at the borrower. */
  readonly queued: number;
  /** Lendable credits that the borrower has itself. */
  readonly free: number;
  readonly renew: readonly Loan[];
  /** Only this endpoint, which the borrower wants for itself. */
  readonly only?: EndpointId | undefined;
}

/** A service whose credits are shared with peers. */
export interface SharedService {
  readLoad(): ServiceLoad;
  lend(peer: InstanceId, request: LoanRequest): readonly Loan[];
  /** Lends unasked to a peer that has calls waiting. */
  offerLoans(peer: InstanceId, load: ServiceLoad): readonly Loan[];
  receiveLoans(peer: InstanceId, loans: readonly Loan[], askedAt: number): void;
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

/** Least time between two messages while calls wait somewhere, in milliseconds. */
const urgentMs = 5;
/** The same while no call waits: then nobody acts on the figures at once. */
const calmMs = 25;
/** Most time between two messages, in milliseconds. */
const idleMs = 500;
/** A peer that was not heard for this long is taken to have nothing free. */
const staleMs = 1000;

interface Heard extends PeerLoad {
  readonly at: number;
  /** When the peer sent it, by the peer's clock. */
  readonly sentAt: number;
}

/** The part of the links to peers that the exchange uses. */
export type PeerSender = Pick<PeerTransport, 'handle' | 'send'>;

/** What the exchange tells peers and takes from them. */
export interface ExchangeSource {
  /** Services of this instance whose credits are shared. */
  readonly shared: ReadonlyMap<ServiceId, SharedService>;
  /** Addresses of endpoints that peers should hear to be leaving. */
  readonly leaving: readonly string[];
  receiveLeaving(addresses: readonly string[]): void;
}

/** Tells peers the loads of this instance, and carries loans of credits to and fro. */
export class LoadExchange {
  readonly #hub: PeerSender;

  readonly #members: Members;

  readonly #clock: Clock;

  readonly #source: ExchangeSource;

  readonly #heard = new Map<ServiceId, Map<InstanceId, Heard>>();

  #sentAt = 0;

  #isChanged = false;

  #isUrgent = false;

  /**
   * @param hub - Links to peers.
   * @param members - Live entry instances.
   * @param clock - Source of time.
   * @param source - What to tell, and where messages go.
   */
  constructor(hub: PeerSender, members: Members, clock: Clock, source: ExchangeSource) {
    this.#hub = hub;
    this.#members = members;
    this.#clock = clock;
    this.#source = source;
    hub.handle('loads', (body, from) => this.#receiveLoads(from.instance, body));
    hub.handle('borrow', (body, from) => this.#receiveBorrow(from.instance, body));
    hub.handle('lend', (body, from) => this.#receiveLend(from.instance, body));
    hub.handle('return', (body, from) => this.#receiveReturn(from.instance, body));
  }

  /** Whether something has changed that peers have not been told. */
  get hasNews(): boolean {
    return this.#isChanged;
  }

  /** @param isUrgent - Whether a call waits, so that peers should hear of it soon. */
  recordChange(isUrgent: boolean): void {
    this.#isChanged = true;
    this.#isUrgent ||= isUrgent;
    if (isUrgent) this.advance();
  }

  /**
   * Lists what live peers last said of a service.
   *
   * @returns The loads by peer.
   */
  listLoads(service: ServiceId): ReadonlyMap<InstanceId, PeerLoad> {
    const oldest = this.#clock.now() - staleMs;
    const known = [...(this.#heard.get(service) ?? [])];
    const { live } = this.#members;
    return new Map(known.filter(([peer, { at }]) => at > oldest && live.includes(peer)));
  }

  /** Asks a peer for credits, or for more time for those that it lent. */
  requestLoans(service: ServiceId, peer: InstanceId, request: LoanRequest): void {
    this.#hub.send(peer, 'borrow', { service, at: this.#clock.now(), ...request });
  }

  /** Lends unasked; the peer counts the loans from its last `loads` message. */
  sendLoans(service: ServiceId, peer: InstanceId, loans: readonly Loan[]): void {
    const heard = this.#heard.get(service)?.get(peer);
    if (heard) this.#sendLoans(peer, service, heard.sentAt, loans);
  }

  /** Gives loans back. */
  sendReturn(service: ServiceId, peer: InstanceId, loans: readonly Loan[]): void {
    this.#hub.send(peer, 'return', { service, loans });
  }

  /** Tells peers what has changed, when it is time to. */
  advance(): void {
    const now = this.#clock.now();
    const passed = now - this.#sentAt;
    let waitMs = idleMs;
    if (this.#isChanged) waitMs = this.#isUrgent ? urgentMs : calmMs;
    if (passed < waitMs) return;
    this.#sentAt = now;
    this.#isChanged = false;
    this.#isUrgent = false;
    const services = Object.fromEntries(
      [...this.#source.shared].map(([name, service]) => [name, service.readLoad()]),
    );
    const { leaving } = this.#source;
    this.#members.live.forEach((peer) => {
      if (peer !== this.#members.self)
        this.#hub.send(peer, 'loads', { at: now, services, leaving });
    });
  }

  #receiveLoads(peer: InstanceId, body: MessageBody): MessageBody {
    const message = messageSchemas.loads.parse(body);
    this.#source.receiveLeaving(message.leaving);
    Object.entries(message.services).forEach(([key, load]) => {
      const name = key as ServiceId;
      const heard = this.#heard.get(name) ?? new Map<InstanceId, Heard>();
      this.#heard.set(name, heard);
      const before = heard.get(peer)?.calls ?? {};
      heard.set(peer, {
        ...load,
        at: this.#clock.now(),
        sentAt: message.at,
        countRecent: (id) => Math.max(load.calls[id] ?? 0, before[id] ?? 0),
      });
      const loans =
        load.queued > 0 ? (this.#source.shared.get(name)?.offerLoans(peer, load) ?? []) : [];
      this.#sendLoans(peer, name, message.at, loans);
    });
    return {};
  }

  #receiveBorrow(peer: InstanceId, body: MessageBody): MessageBody {
    const { service, at, ...request } = messageSchemas.borrow.parse(body);
    const loans = this.#source.shared.get(service as ServiceId)?.lend(peer, request);
    this.#sendLoans(peer, service, at, loans ?? []);
    return {};
  }

  #receiveLend(peer: InstanceId, body: MessageBody): MessageBody {
    const { service, at, loans } = messageSchemas.lend.parse(body);
    this.#source.shared.get(service as ServiceId)?.receiveLoans(peer, loans, at);
    return {};
  }

  #receiveReturn(peer: InstanceId, body: MessageBody): MessageBody {
    const { service, loans } = messageSchemas.return.parse(body);
    this.#source.shared.get(service as ServiceId)?.receiveReturn(peer, loans);
    return {};
  }

  /** `at` is the borrower's own time, from which it counts the loans. */
  #sendLoans(peer: InstanceId, service: string, at: number, loans: readonly Loan[]): void {
    if (loans.length > 0) this.#hub.send(peer, 'lend', { service, at, loans });
  }
}
