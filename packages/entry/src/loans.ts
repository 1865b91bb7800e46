import type { CreditPool, Loan, PeerLoan } from '@dotterelpass/credits';
import type { Clock, EndpointId, InstanceId, ServiceId } from '@dotterelpass/values';
import type { LoanRequest, PeerLoad, ServiceLoad } from './loads.js';

/** Exchanges loads and loans with peers. */
export interface LoanTransport {
  listLoads(service: ServiceId): ReadonlyMap<InstanceId, PeerLoad>;
  requestLoans(service: ServiceId, peer: InstanceId, request: LoanRequest): void;
  sendReturn(service: ServiceId, peer: InstanceId, loans: readonly Loan[]): void;
  /** Lends credits without a request; the loans run from the peer's last `loads` message. */
  sendLoans(service: ServiceId, peer: InstanceId, loans: readonly Loan[]): void;
  recordChange(isUrgent: boolean): void;
}

/** Dependencies of a `LoanCoordinator`. */
export interface LoanCoordinatorOptions {
  readonly service: ServiceId;
  readonly self: InstanceId;
  readonly transport: LoanTransport;
  readonly clock: Clock;
  readonly credits: CreditPool;
  /** Counts the calls that wait for a slot on this instance. */
  countQueued(): number;
}

/** Shortest time between two requests for credits to the same peer. */
const requestIntervalMs = 10;
/** Loans in use are renewed when they expire within this time. */
const renewWithinMs = 250;
const renewIntervalMs = 50;
/** While no call is queued, credits are borrowed if fewer than this number are free. */
const lowWaterCredits = 2;
/** Idle loans are kept this long after the last loan was received. */
const idleLoanMs = 50;
/** Lifetime of the reservation of an endpoint for an exclusive call, unless it is renewed. */
const reservationMs = 100;

/** Decides when credits of one service are lent, borrowed, renewed and returned. */
export class LoanCoordinator {
  readonly #options: LoanCoordinatorOptions;

  readonly #requestedAt = new Map<InstanceId, number>();

  readonly #reservations = new Map<EndpointId, { owner: InstanceId; until: number }>();

  #renewedAt = 0;

  #borrowedAt = 0;

  constructor(options: LoanCoordinatorOptions) {
    this.#options = options;
  }

  /** Renews loans in use and returns idle loans, when due. */
  tick(): void {
    const { clock, credits } = this.#options;
    const now = clock.now();
    if (now - this.#renewedAt >= renewIntervalMs) {
      this.#renewedAt = now;
      this.#renewLoans();
    }
    // Idle loans are kept for a short time for the next calls.
    if (now - this.#borrowedAt >= idleLoanMs) {
      this.#returnLoans(Math.max(0, lowWaterCredits - credits.countLendable(lowWaterCredits)));
    }
  }

  /** Whether an endpoint is reserved for an exclusive call and gets no other calls. */
  isReserved(endpoint: EndpointId): boolean {
    const reservation = this.#reservations.get(endpoint);
    return reservation !== undefined && reservation.until > this.#options.clock.now();
  }

  /** Reserves an endpoint for a call of this instance, and requests its credits from peers. */
  reserve(endpoint: EndpointId, slots: number, peers: readonly InstanceId[]): void {
    const { service, self, transport, clock } = this.#options;
    this.#reservations.set(endpoint, { owner: self, until: clock.now() + reservationMs });
    const request = { wanted: slots, queued: 0, free: 0, renew: [], only: endpoint };
    peers.forEach((peer) => transport.requestLoans(service, peer, request));
  }

  /** Ends the reservation of an endpoint. */
  endReservation(endpoint: EndpointId): void {
    this.#reservations.delete(endpoint);
  }

  /** Handles a request of a peer for credits or for the extension of its loans. */
  lend(peer: InstanceId, { wanted, queued, free, renew, only }: LoanRequest): readonly Loan[] {
    const { credits, clock } = this.#options;
    const renewed = credits.renew(peer, renew);
    if (only !== undefined) {
      const until = clock.now() + reservationMs;
      const existing = this.#reservations.get(only);
      // The first reservation wins: two instances that reserve one endpoint would wait forever.
      if (existing && existing.owner !== peer && existing.until > clock.now()) return renewed;
      this.#reservations.set(only, { owner: peer, until });
      return [...renewed, ...credits.lend(peer, wanted, 0, only)];
    }
    if (this.#options.countQueued() > 0 || wanted === 0) return renewed;
    const own = credits.countLendable();
    // A peer without queued calls gets at most half of the difference, so that both end up equal.
    const count = queued > 0 ? wanted : Math.min(wanted, Math.floor((own - free) / 2));
    return [...renewed, ...credits.lend(peer, count, 0)];
  }

  /**
   * Lends credits, without a request, to a peer with queued calls. Each instance lends its share of
   * the calls queued there, in proportion to the credits that all instances could lend.
   */
  offerLoans(peer: InstanceId, load: ServiceLoad): readonly Loan[] {
    const { service, transport, credits } = this.#options;
    if (this.#options.countQueued() > 0) return [];
    const own = credits.countLendable();
    if (own === 0) return [];
    const loads = transport.listLoads(service);
    const total = [...loads.values()].reduce((sum, { free }) => sum + free, own);
    return credits.lend(peer, Math.ceil((load.queued * own) / total), 0);
  }

  /** Adds loans received from a peer. */
  receiveLoans(peer: InstanceId, loans: readonly Loan[], startedAt: number): void {
    this.#options.credits.receiveLoans(peer, loans, startedAt);
    this.#borrowedAt = this.#options.clock.now();
  }

  /** Lends free credits at once to the peer with the most queued calls, if none wait here. */
  lendToWaitingPeers(): void {
    const { service, transport, credits } = this.#options;
    if (this.#options.countQueued() > 0) return;
    const waiting = [...transport.listLoads(service)].filter(([, load]) => load.queued > 0);
    if (waiting.length === 0) return;
    this.#returnLoans(0);
    const [busiest] = waiting.sort(([, a], [, b]) => b.queued - a.queued);
    if (!busiest) return;
    const [peer, load] = busiest;
    transport.sendLoans(service, peer, credits.lend(peer, load.queued, 0));
  }

  /** Borrows credits when few are free, before calls have to wait. */
  borrowWhenLow(): void {
    const { credits } = this.#options;
    const lendable = credits.countLendable(lowWaterCredits);
    if (lendable >= lowWaterCredits) return;
    const free = lendable + credits.countIdleLoans();
    if (free < lowWaterCredits) this.borrow(lowWaterCredits - free);
  }

  /** Requests credits from the peer with the most free ones. */
  borrow(wanted: number): void {
    const { service, transport, clock, credits } = this.#options;
    const now = clock.now();
    const peers = [...transport.listLoads(service)]
      .filter(
        ([peer, { free }]) =>
          free > 0 && now - (this.#requestedAt.get(peer) ?? 0) >= requestIntervalMs,
      )
      .sort(([, a], [, b]) => b.free - a.free);
    const [mostFree] = peers;
    if (!mostFree) return;
    const [peer, load] = mostFree;
    this.#requestedAt.set(peer, now);
    transport.requestLoans(service, peer, {
      wanted: Math.min(wanted, load.free),
      queued: this.#options.countQueued(),
      free: credits.countLendable(),
      renew: [],
    });
  }

  #renewLoans(): void {
    const { service, transport, credits } = this.#options;
    groupByPeer(credits.listRenewable(renewWithinMs)).forEach((renew, peer) => {
      const request = { wanted: 0, queued: this.#options.countQueued(), free: 0, renew };
      transport.requestLoans(service, peer, request);
    });
  }

  #returnLoans(keep: number): void {
    const { service, self, transport, credits } = this.#options;
    if (this.#options.countQueued() > 0) return;
    // Loans collected for an exclusive call of this instance are idle too, but must be kept.
    if ([...this.#reservations.values()].some(({ owner }) => owner === self)) return;
    groupByPeer(credits.releaseIdleLoans(keep)).forEach((loans, peer) => {
      transport.sendReturn(service, peer, loans);
    });
  }
}

function groupByPeer(loans: readonly PeerLoan[]): ReadonlyMap<InstanceId, Loan[]> {
  const groups = new Map<InstanceId, Loan[]>();
  loans.forEach(({ peer, endpoint, index, loan }) => {
    groups.set(peer, [...(groups.get(peer) ?? []), { endpoint, index, loan }]);
  });
  return groups;
}
