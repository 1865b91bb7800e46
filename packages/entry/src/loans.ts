import type { CreditPool, Loan, PeerLoan } from '@dotterelpass/credits';
import type { Clock, EndpointId, InstanceId, ServiceId } from '@dotterelpass/values';
import type { LoanRequest, PeerLoad, ServiceLoad } from './loads.js';

/** What a shared service asks of the messages to peers. */
export interface LoanMarket {
  listLoads(service: ServiceId): ReadonlyMap<InstanceId, PeerLoad>;
  requestLoans(service: ServiceId, peer: InstanceId, request: LoanRequest): void;
  sendReturn(service: ServiceId, peer: InstanceId, loans: readonly Loan[]): void;
  /** Lends unasked to a peer, which counts the loans from its last `loads` message. */
  sendLoans(service: ServiceId, peer: InstanceId, loans: readonly Loan[]): void;
  recordChange(isUrgent: boolean): void;
}

export interface LoanBookOptions {
  readonly service: ServiceId;
  readonly self: InstanceId;
  readonly market: LoanMarket;
  readonly clock: Clock;
  readonly credits: CreditPool;
  /** Calls that wait for a slot here. */
  countQueued(): number;
}

/** A question for credits is repeated after this time, in milliseconds. */
const askAgainMs = 10;
/** Loans with a call on them are renewed when they end within this time, in milliseconds. */
const renewWithinMs = 250;
const renewEveryMs = 50;
/** While no call waits, credits are borrowed below this number of free ones. */
const lowWater = 2;
/** Idle loans are kept this long after the last borrowing, in milliseconds. */
const keepLoansMs = 50;
/** An endpoint that a peer wants for itself gets no other calls for this long, in milliseconds. */
const setAsideMs = 100;

/** Decides which credits of one service are lent, borrowed, renewed and returned, and when. */
export class LoanBook {
  readonly #options: LoanBookOptions;

  readonly #askedAt = new Map<InstanceId, number>();

  readonly #setAside = new Map<EndpointId, { owner: InstanceId; until: number }>();

  #renewedAt = 0;

  #borrowedAt = 0;

  constructor(options: LoanBookOptions) {
    this.#options = options;
  }

  /** Does what time makes due: renewals, and the return of loans that nobody used. */
  advance(): void {
    const { clock, credits } = this.#options;
    const now = clock.now();
    if (now - this.#renewedAt >= renewEveryMs) {
      this.#renewedAt = now;
      this.#renewLoans();
    }
    // Idle loans are kept for a short time, for calls that come soon.
    if (now - this.#borrowedAt >= keepLoansMs) {
      this.#returnLoans(Math.max(0, lowWater - credits.countLendable(lowWater)));
    }
  }

  /** Whether an endpoint gets no calls at present because one call wants it for itself. */
  isSetAside(endpoint: EndpointId): boolean {
    const aside = this.#setAside.get(endpoint);
    return aside !== undefined && aside.until > this.#options.clock.now();
  }

  /** Sets an endpoint aside for a call of this instance, and asks peers for its credits. */
  collect(endpoint: EndpointId, slots: number, peers: readonly InstanceId[]): void {
    const { service, self, market, clock } = this.#options;
    this.#setAside.set(endpoint, { owner: self, until: clock.now() + setAsideMs });
    const question = { wanted: slots, queued: 0, free: 0, renew: [], only: endpoint };
    peers.forEach((peer) => market.requestLoans(service, peer, question));
  }

  /** Ends the setting aside of an endpoint. */
  endCollection(endpoint: EndpointId): void {
    this.#setAside.delete(endpoint);
  }

  /** Answers a peer that asks for credits, or for more time for those that it has. */
  lend(peer: InstanceId, { wanted, queued, free, renew, only }: LoanRequest): readonly Loan[] {
    const { credits, clock } = this.#options;
    const renewed = credits.renew(peer, renew);
    if (only !== undefined) {
      const until = clock.now() + setAsideMs;
      const held = this.#setAside.get(only);
      // Two instances that want the same endpoint for themselves would wait for each other.
      if (held && held.owner !== peer && held.until > clock.now()) return renewed;
      this.#setAside.set(only, { owner: peer, until });
      return [...renewed, ...credits.lend(peer, wanted, 0, only)];
    }
    if (this.#options.countQueued() > 0 || wanted === 0) return renewed;
    const own = credits.countLendable();
    // A peer without waiting calls gets no more than brings both to the same number.
    const most = queued > 0 ? wanted : Math.min(wanted, Math.floor((own - free) / 2));
    return [...renewed, ...credits.lend(peer, most, 0)];
  }

  /** Lends unasked to a peer that says that calls wait there: its part of what all could lend. */
  offerLoans(peer: InstanceId, load: ServiceLoad): readonly Loan[] {
    const { service, market, credits } = this.#options;
    if (this.#options.countQueued() > 0) return [];
    const own = credits.countLendable();
    if (own === 0) return [];
    const loads = market.listLoads(service);
    const all = [...loads.values()].reduce((sum, { free }) => sum + free, own);
    return credits.lend(peer, Math.ceil((load.queued * own) / all), 0);
  }

  /** Takes credits on loan. */
  receiveLoans(peer: InstanceId, loans: readonly Loan[], askedAt: number): void {
    this.#options.credits.receiveLoans(peer, loans, askedAt);
    this.#borrowedAt = this.#options.clock.now();
  }

  /** Sends a freed credit at once to a peer that has calls waiting: there is no use for it here. */
  serveWaitingPeers(): void {
    const { service, market, credits } = this.#options;
    if (this.#options.countQueued() > 0) return;
    const waiting = [...market.listLoads(service)].filter(([, load]) => load.queued > 0);
    if (waiting.length === 0) return;
    this.#returnLoans(0);
    const [longest] = waiting.sort(([, a], [, b]) => b.queued - a.queued);
    if (!longest) return;
    const [peer, load] = longest;
    market.sendLoans(service, peer, credits.lend(peer, load.queued, 0));
  }

  /** Borrows before calls have to wait. */
  borrowWhenLow(): void {
    const { credits } = this.#options;
    const lendable = credits.countLendable(lowWater);
    if (lendable >= lowWater) return;
    const free = lendable + credits.countIdleLoans();
    if (free < lowWater) this.borrow(lowWater - free);
  }

  /** Asks the peer with the most idle credits. */
  borrow(wanted: number): void {
    const { service, market, clock, credits } = this.#options;
    const now = clock.now();
    const peers = [...market.listLoads(service)]
      .filter(([peer, { free }]) => free > 0 && now - (this.#askedAt.get(peer) ?? 0) >= askAgainMs)
      .sort(([, a], [, b]) => b.free - a.free);
    const [richest] = peers;
    if (!richest) return;
    const [peer, load] = richest;
    this.#askedAt.set(peer, now);
    market.requestLoans(service, peer, {
      wanted: Math.min(wanted, load.free),
      queued: this.#options.countQueued(),
      free: credits.countLendable(),
      renew: [],
    });
  }

  #renewLoans(): void {
    const { service, market, credits } = this.#options;
    groupByPeer(credits.listRenewable(renewWithinMs)).forEach((renew, peer) => {
      const request = { wanted: 0, queued: this.#options.countQueued(), free: 0, renew };
      market.requestLoans(service, peer, request);
    });
  }

  #returnLoans(keep: number): void {
    const { service, self, market, credits } = this.#options;
    if (this.#options.countQueued() > 0) return;
    // Loans that are collected for a call that must run alone are idle as well.
    if ([...this.#setAside.values()].some(({ owner }) => owner === self)) return;
    groupByPeer(credits.releaseIdleLoans(keep)).forEach((loans, peer) => {
      market.sendReturn(service, peer, loans);
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
