import { rankByHash } from '@dotterelpass/values';
import type { Clock, EndpointId, InstanceId, ServiceId } from '@dotterelpass/values';

/** Time after which a loan that is not renewed expires, in milliseconds. */
export const loanDurationMs = 500;

/** An endpoint whose slots are shared by the entry instances. */
export interface SharedEndpoint {
  readonly id: EndpointId;
  readonly slots: number;
}

/** The right to run one call on an endpoint. */
export interface Credit {
  readonly endpoint: EndpointId;
  /** Number of the slot; numbers from `slots` on are extra credits. */
  readonly index: number;
}

/** A credit that its owner has lent to another instance. */
export interface Loan extends Credit {
  /**
   * Number that the lender assigned to this loan. It distinguishes a late message about an earlier
   * loan of the same credit.
   */
  readonly loan: number;
}

/** A loan together with its lender or borrower. */
export interface PeerLoan extends Loan {
  readonly peer: InstanceId;
  /**
   * Time at which the loan expires, on the clock of this instance, in milliseconds; -1 once this
   * instance has released it.
   */
  readonly until: number;
}

interface CreditState extends Credit {
  /** The instance that may use the credit while it is not lent. */
  readonly owner: InstanceId;
  /** Whether a call of this instance runs on the credit. */
  readonly isBusy: boolean;
  readonly lent?: PeerLoan | undefined;
  readonly borrowed?: PeerLoan | undefined;
}

/**
 * Counts the extra credits that keep the slots of an endpoint occupied during the network round
 * trip between the end of a call and the start of the next.
 *
 * @param slots - Slots of the endpoint.
 * @param rttMs - Round-trip time, in milliseconds.
 * @param serviceMs - Time for which a call occupies a slot, in milliseconds.
 * @returns At most `slots`.
 */
export function countExtraCredits(slots: number, rttMs: number, serviceMs: number): number {
  if (!(serviceMs > 0)) return 0;
  return Math.min(slots, Math.ceil((slots * rttMs) / serviceMs));
}

/**
 * The credits of one service as seen by one entry instance. The pool sends no messages: the
 * code that uses it notifies the peers of lent and returned credits.
 */
export class CreditPool {
  readonly #service: ServiceId;

  readonly #self: InstanceId;

  readonly #clock: Clock;

  readonly #findLimit: (endpoint: EndpointId) => number;

  #states: ReadonlyMap<EndpointId, CreditState[]> = new Map();

  #lastLoanNumber = 0;

  /** Latest expiry of all loans received so far; after it, no credit is borrowed. */
  #lastBorrowedUntil = 0;

  /**
   * @param service - The service; it is part of the hash, so owners differ between services.
   * @param self - This instance.
   * @param clock - Source of time.
   * @param findLimit - Returns how many credits of an endpoint may be used at present: fewer than
   * its slots during a slow start, 0 while it is ejected, more than its slots while calls wait.
   */
  constructor(
    service: ServiceId,
    self: InstanceId,
    clock: Clock,
    findLimit: (endpoint: EndpointId) => number,
  ) {
    this.#service = service;
    this.#self = self;
    this.#clock = clock;
    this.#findLimit = findLimit;
  }

  /**
   * Assigns every credit to an owner, by rendezvous hashing.
   *
   * @param endpoints - The endpoints of the configuration in force.
   * @param live - Live entry instances.
   */
  setMembers(endpoints: readonly SharedEndpoint[], live: readonly InstanceId[]): void {
    const owners = live.length > 0 ? live : [this.#self];
    this.#states = new Map(
      endpoints.map(({ id, slots }) => [
        id,
        // `countExtraCredits` returns at most as many extra credits as there are slots.
        Array.from({ length: slots * 2 }, (_, index) => this.#createState(id, index, owners)),
      ]),
    );
  }

  /** @returns The number of free credits of an endpoint that this instance may use now. */
  countFree(endpoint: EndpointId): number {
    const now = this.#clock.now();
    const states = this.#states.get(endpoint) ?? [];
    const limit = Math.min(states.length, this.#findLimit(endpoint));
    let count = 0;
    for (let index = 0; index < limit; index++) {
      const state = states[index] as CreditState;
      if (!state.isBusy && isHeld(state, this.#self, now)) count += 1;
    }
    return count;
  }

  /** @returns The number of calls of this instance that use a credit of an endpoint. */
  countBusy(endpoint: EndpointId): number {
    return (this.#states.get(endpoint) ?? []).filter(({ isBusy }) => isBusy).length;
  }

  /**
   * Counts the free credits that `lend` could lend.
   *
   * @param maxCount - Number at which counting stops, since each call needs only a few.
   * @returns The count, at most `maxCount`.
   */
  countLendable(maxCount = Number.POSITIVE_INFINITY): number {
    const now = this.#clock.now();
    let count = 0;
    for (const [id, states] of this.#states) {
      const slots = Math.min(states.length / 2, this.#findLimit(id));
      for (let index = 0; index < slots; index++) {
        const state = states[index] as CreditState;
        if (state.owner === this.#self && !state.isBusy && isHeld(state, this.#self, now)) {
          count += 1;
          if (count >= maxCount) return count;
        }
      }
    }
    return count;
  }

  /**
   * Counts the credits that this instance holds, including those in use.
   *
   * @returns The number of credits, without extra credits.
   */
  countHeld(): number {
    let held = 0;
    this.#states.forEach((states) => {
      const slots = states.length / 2;
      held += states.filter((state) => state.index < slots && this.#isHeld(state)).length;
    });
    return held;
  }

  /** @returns Every credit on which this instance may start a call or runs one. */
  listHeld(): Credit[] {
    return [...this.#states.values()].flat().filter((state) => this.#isHeld(state));
  }

  /**
   * Acquires a free credit for a call.
   *
   * @param endpoint - The endpoint.
   * @returns The credit, or undefined when none is free.
   */
  acquire(endpoint: EndpointId): Credit | undefined {
    const [free] = this.#listFree(endpoint);
    if (free) this.#updateState(free, { isBusy: true });
    return free && { endpoint, index: free.index };
  }

  /**
   * Acquires all slots of an endpoint for one call that must run alone.
   *
   * @param endpoint - The endpoint.
   * @returns The credits, or undefined while any of them is in use or held by another instance.
   */
  acquireAll(endpoint: EndpointId): Credit[] | undefined {
    const states = this.#states.get(endpoint) ?? [];
    // An extra credit in use is a running call, too.
    if (states.length === 0 || states.some(({ isBusy }) => isBusy)) return undefined;
    const slots = states.slice(0, states.length / 2);
    if (!slots.every((state) => this.#isHeld(state))) return undefined;
    slots.forEach((state) => this.#updateState(state, { isBusy: true }));
    return slots.map(({ index }) => ({ endpoint, index }));
  }

  /** Releases a credit whose call has ended. */
  release({ endpoint, index }: Credit): void {
    const state = this.#states.get(endpoint)?.[index];
    if (state) this.#updateState(state, { isBusy: false });
  }

  /**
   * Lends free credits that this instance owns.
   *
   * @param peer - The borrower.
   * @param wanted - Maximum number of credits to lend.
   * @param keep - Number of free credits that are not lent.
   * @param onlyEndpoint - Lends credits of this endpoint only, without regard to its limit: the
   * borrower needs the whole endpoint for one call.
   * @returns The loans; the borrower may use them for less than `loanDurationMs` from now.
   */
  lend(peer: InstanceId, wanted: number, keep: number, onlyEndpoint?: EndpointId): Loan[] {
    const ids = onlyEndpoint === undefined ? [...this.#states.keys()] : [onlyEndpoint];
    const limit = onlyEndpoint === undefined ? undefined : Number.POSITIVE_INFINITY;
    const lendable = ids.map((id) => this.#listLendable(id, limit));
    const count = lendable.reduce((sum, states) => sum + states.length, 0);
    const until = this.#clock.now() + loanDurationMs;
    const loans: Loan[] = [];
    while (loans.length < Math.min(wanted, count - keep)) {
      // Lends from the endpoint with the most free credits, which spreads loans over endpoints.
      const longest = lendable.reduce((best, states) =>
        states.length > best.length ? states : best,
      );
      const state = longest.pop() as CreditState;
      this.#lastLoanNumber += 1;
      const loan = { endpoint: state.endpoint, index: state.index, loan: this.#lastLoanNumber };
      this.#updateState(state, { lent: { ...loan, peer, until } });
      loans.push(loan);
    }
    return loans;
  }

  /**
   * Renews loans that have not expired.
   *
   * @param peer - The borrower.
   * @param loans - The loans that the borrower asks to renew.
   * @returns The renewed loans; they last for `loanDurationMs` from now.
   */
  renew(peer: InstanceId, loans: readonly Loan[]): Loan[] {
    const until = this.#clock.now() + loanDurationMs;
    return loans.filter((loan) => {
      const state = this.#findLent(peer, loan);
      if (!state?.lent || state.owner !== this.#self) return false;
      this.#updateState(state, { lent: { ...state.lent, until } });
      return true;
    });
  }

  /**
   * Ends loans that the borrower returns.
   *
   * @param peer - The borrower.
   * @param loans - The returned loans; those that have already ended are ignored.
   */
  receiveReturnedLoans(peer: InstanceId, loans: readonly Loan[]): void {
    loans.forEach((loan) => {
      const state = this.#findLent(peer, loan);
      if (state) this.#updateState(state, { lent: undefined });
    });
  }

  /**
   * Records borrowed credits.
   *
   * @param peer - The lender.
   * @param loans - The new or renewed loans.
   * @param askedAt - Time at which this instance sent the request that the lender answers, on the
   * clock of this instance. The loan is counted from then, so that it expires here before it
   * expires at the lender.
   */
  receiveLoans(peer: InstanceId, loans: readonly Loan[], askedAt: number): void {
    const now = this.#clock.now();
    const until = askedAt + loanDurationMs;
    if (askedAt > now || until <= now) return;
    loans.forEach((loan) => {
      const state = this.#states.get(loan.endpoint)?.[loan.index];
      if (!state || state.owner !== peer) return;
      const { borrowed } = state;
      // Messages may be reordered: a loan that was returned must not become valid again.
      if (borrowed?.peer === peer && borrowed.loan > loan.loan) return;
      if (borrowed?.peer === peer && borrowed.loan === loan.loan && borrowed.until > until) return;
      if (borrowed?.peer === peer && borrowed.loan === loan.loan && borrowed.until < 0) return;
      this.#updateState(state, { borrowed: { ...loan, peer, until } });
      this.#lastBorrowedUntil = Math.max(this.#lastBorrowedUntil, until);
    });
  }

  /**
   * Lists the borrowed credits that should be renewed.
   *
   * @param withinMs - Only loans that expire within this time are listed.
   * @returns The loans whose credit is in use by a call.
   */
  listRenewable(withinMs: number): PeerLoan[] {
    const renewBefore = this.#clock.now() + withinMs;
    return this.#listBorrowed()
      .filter(({ isBusy, borrowed }) => isBusy && borrowed.until <= renewBefore)
      .map(({ borrowed }) => borrowed);
  }

  /** @returns The number of borrowed credits that no call uses. */
  countIdleLoans(): number {
    return this.#listBorrowed().filter(({ isBusy }) => !isBusy).length;
  }

  /**
   * Stops using borrowed credits that no call uses.
   *
   * @param keep - Number of idle loans to keep.
   * @returns The released loans, which must be returned to their lenders.
   */
  releaseIdleLoans(keep: number): PeerLoan[] {
    const idle = this.#listBorrowed().filter(({ isBusy }) => !isBusy);
    const released = idle.slice(keep);
    released.forEach((state) => {
      // The loan number is kept, so that a late duplicate of the loan is recognised.
      this.#updateState(state, { borrowed: { ...state.borrowed, until: -1 } });
    });
    return released.map(({ borrowed }) => borrowed);
  }

  #createState(endpoint: EndpointId, index: number, live: readonly InstanceId[]): CreditState {
    const owner = rankByHash(`${this.#service}/${endpoint}/${index}`, live)[0] as InstanceId;
    const previous = this.#states.get(endpoint)?.[index];
    if (previous?.owner === owner) return previous;
    // A loan from the previous owner stays valid until it expires; the new owner has no record
    // of it.
    return {
      endpoint,
      index,
      owner,
      isBusy: previous?.isBusy ?? false,
      borrowed: previous?.borrowed,
    };
  }

  #listFree(endpoint: EndpointId, limit = this.#findLimit(endpoint)): CreditState[] {
    const states = this.#states.get(endpoint) ?? [];
    return states.filter((state) => state.index < limit && !state.isBusy && this.#isHeld(state));
  }

  #listBorrowed(): (CreditState & { readonly borrowed: PeerLoan })[] {
    const now = this.#clock.now();
    // Loans are rare, and this runs with each call.
    if (now >= this.#lastBorrowedUntil) return [];
    return [...this.#states.values()]
      .flat()
      .filter(
        (state): state is CreditState & { readonly borrowed: PeerLoan } =>
          state.owner !== this.#self && (state.borrowed?.until ?? 0) > now,
      );
  }

  #isHeld(state: CreditState): boolean {
    return isHeld(state, this.#self, this.#clock.now());
  }

  #listLendable(endpoint: EndpointId, limit?: number): CreditState[] {
    const slots = (this.#states.get(endpoint)?.length ?? 0) / 2;
    return this.#listFree(endpoint, limit).filter(
      ({ owner, index }) => owner === this.#self && index < slots,
    );
  }

  #findLent(peer: InstanceId, { endpoint, index, loan }: Loan): CreditState | undefined {
    const state = this.#states.get(endpoint)?.[index];
    const lent = state?.lent;
    if (!lent || lent.peer !== peer || lent.loan !== loan) return undefined;
    return lent.until > this.#clock.now() ? state : undefined;
  }

  #updateState({ endpoint, index }: Credit, change: Partial<CreditState>): void {
    const states = this.#states.get(endpoint);
    const state = states?.[index];
    if (states && state) states[index] = { ...state, ...change };
  }
}

/**
 * Compares expiry times instead of using a timer, so that an instance that was paused finds its
 * loans expired when it resumes.
 */
function isHeld({ owner, lent, borrowed }: CreditState, self: InstanceId, now: number): boolean {
  if (owner === self) return !lent || lent.until <= now;
  return borrowed !== undefined && borrowed.until > now;
}
