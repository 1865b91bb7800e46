import { rankByHash } from '@dotterelpass/values';
import type { Clock, EndpointId, InstanceId, ServiceId } from '@dotterelpass/values';

/** Time after which a loan reverts to its home, in milliseconds. */
export const loanMs = 500;

/** An endpoint whose slots are shared. */
export interface SharedEndpoint {
  readonly id: EndpointId;
  readonly slots: number;
}

/** The right to run one call on an endpoint. */
export interface Credit {
  readonly endpoint: EndpointId;
  /** Number of the slot; those from `slots` on are extra credits. */
  readonly index: number;
}

/** One loan of a credit. */
export interface Loan extends Credit {
  /** Number that the lender gave this loan; a late message of an earlier loan has another. */
  readonly loan: number;
}

/** A loan with the other party of it. */
export interface PeerLoan extends Loan {
  readonly peer: InstanceId;
  /** When it ends, on the clock of this instance, in milliseconds. */
  readonly until: number;
}

interface State extends Credit {
  readonly home: InstanceId;
  /** A call of this instance runs on it. */
  readonly isBusy: boolean;
  readonly lent?: PeerLoan | undefined;
  readonly borrowed?: PeerLoan | undefined;
}

/**
 * Counts the extra credits that make up for the time in which a freed slot waits for its next
 * call.
 *
 * @param slots - Slots of the endpoint.
 * @param rttMs - Time there and back, in milliseconds.
 * @param serviceMs - Time that a call runs, in milliseconds.
 * @returns At most `slots`.
 */
export function countExtraCredits(slots: number, rttMs: number, serviceMs: number): number {
  if (!(serviceMs > 0)) return 0;
  return Math.min(slots, Math.ceil((slots * rttMs) / serviceMs));
}

/**
 * The credits of one service as one entry instance sees them. It sends nothing: what it lends or
 * wants back is for the caller to tell the peers.
 */
export class CreditPool {
  readonly #service: ServiceId;

  readonly #self: InstanceId;

  readonly #clock: Clock;

  readonly #findLimit: (endpoint: EndpointId) => number;

  #states: ReadonlyMap<EndpointId, State[]> = new Map();

  #loans = 0;

  /** When the last loan taken so far ends; there is none to look for after that. */
  #borrowedUntil = 0;

  /**
   * @param service - The service, so that the homes of services differ.
   * @param self - This instance.
   * @param clock - Source of time.
   * @param findLimit - How many credits of an endpoint may be used at present: fewer than its
   * slots in a cold start, 0 while it is ejected, more than its slots while calls wait.
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
   * Finds the homes of all credits again.
   *
   * @param endpoints - The endpoints in force.
   * @param live - Live entry instances.
   */
  setMembers(endpoints: readonly SharedEndpoint[], live: readonly InstanceId[]): void {
    const homes = live.length > 0 ? live : [this.#self];
    this.#states = new Map(
      endpoints.map(({ id, slots }) => [
        id,
        // As many extra credits as slots is the most that `countExtra` gives.
        Array.from({ length: slots * 2 }, (_, index) => this.#makeState(id, index, homes)),
      ]),
    );
  }

  /** @returns The free credits of an endpoint that this instance may use now. */
  countFree(endpoint: EndpointId): number {
    const now = this.#clock.now();
    const states = this.#states.get(endpoint) ?? [];
    const limit = Math.min(states.length, this.#findLimit(endpoint));
    let count = 0;
    for (let index = 0; index < limit; index++) {
      const state = states[index] as State;
      if (!state.isBusy && isHeld(state, this.#self, now)) count += 1;
    }
    return count;
  }

  /** @returns The calls of this instance that hold a credit of an endpoint. */
  countBusy(endpoint: EndpointId): number {
    return (this.#states.get(endpoint) ?? []).filter(({ isBusy }) => isBusy).length;
  }

  /**
   * Counts the free credits that `lend` could lend.
   *
   * @param most - Counting ends at this number; each call asks only for a few.
   * @returns The count, at most `most`.
   */
  countLendable(most = Number.POSITIVE_INFINITY): number {
    const now = this.#clock.now();
    let count = 0;
    for (const [id, states] of this.#states) {
      const slots = Math.min(states.length / 2, this.#findLimit(id));
      for (let index = 0; index < slots; index++) {
        const state = states[index] as State;
        if (state.home === this.#self && !state.isBusy && isHeld(state, this.#self, now)) {
          count += 1;
          if (count >= most) return count;
        }
      }
    }
    return count;
  }

  /**
   * Counts the credits that this instance holds, busy ones included.
   *
   * @returns The credits, extra ones left out.
   */
  countHeld(): number {
    let held = 0;
    this.#states.forEach((states) => {
      const slots = states.length / 2;
      held += states.filter((state) => state.index < slots && this.#isHeld(state)).length;
    });
    return held;
  }

  /** @returns Every credit that this instance may begin a call on, or runs one on. */
  listHeld(): Credit[] {
    return [...this.#states.values()].flat().filter((state) => this.#isHeld(state));
  }

  /**
   * Takes a free credit for a call.
   *
   * @param endpoint - The endpoint.
   * @returns The credit, or undefined when none is free.
   */
  acquire(endpoint: EndpointId): Credit | undefined {
    const [free] = this.#listFree(endpoint);
    if (free) this.#set(free, { isBusy: true });
    return free && { endpoint, index: free.index };
  }

  /**
   * Takes all slots of an endpoint for one call that must run alone.
   *
   * @param endpoint - The endpoint.
   * @returns The credits, or undefined while one of them is busy or held elsewhere.
   */
  acquireAll(endpoint: EndpointId): Credit[] | undefined {
    const states = this.#states.get(endpoint) ?? [];
    // An extra credit in use is a call as well.
    if (states.length === 0 || states.some(({ isBusy }) => isBusy)) return undefined;
    const slots = states.slice(0, states.length / 2);
    if (!slots.every((state) => this.#isHeld(state))) return undefined;
    slots.forEach((state) => this.#set(state, { isBusy: true }));
    return slots.map(({ index }) => ({ endpoint, index }));
  }

  /** Ends the use of a credit by a call. */
  release({ endpoint, index }: Credit): void {
    const state = this.#states.get(endpoint)?.[index];
    if (state) this.#set(state, { isBusy: false });
  }

  /**
   * Lends free credits whose home is here.
   *
   * @param peer - Who asks.
   * @param wanted - Most credits to lend.
   * @param keep - Free credits that stay here.
   * @param only - Lend credits of this endpoint alone, whatever its limit: the peer wants the
   * endpoint for itself.
   * @returns The loans; the peer may use them for less than `loanMs` from now.
   */
  lend(peer: InstanceId, wanted: number, keep: number, only?: EndpointId): Loan[] {
    const ids = only === undefined ? [...this.#states.keys()] : [only];
    const limit = only === undefined ? undefined : Number.POSITIVE_INFINITY;
    const idle = ids.map((id) => this.#listLendable(id, limit));
    const count = idle.reduce((sum, list) => sum + list.length, 0);
    const until = this.#clock.now() + loanMs;
    const loans: Loan[] = [];
    while (loans.length < Math.min(wanted, count - keep)) {
      // From the endpoint with most free credits, so that loans spread over endpoints.
      const fullest = idle.reduce((best, list) => (list.length > best.length ? list : best));
      const state = fullest.pop() as State;
      this.#loans += 1;
      const loan = { endpoint: state.endpoint, index: state.index, loan: this.#loans };
      this.#set(state, { lent: { ...loan, peer, until } });
      loans.push(loan);
    }
    return loans;
  }

  /**
   * Extends loans that have not lapsed.
   *
   * @param peer - The borrower.
   * @param loans - The loans that it names.
   * @returns Those that go on for `loanMs` from now.
   */
  renew(peer: InstanceId, loans: readonly Loan[]): Loan[] {
    const until = this.#clock.now() + loanMs;
    return loans.filter((loan) => {
      const state = this.#findLent(peer, loan);
      if (!state?.lent || state.home !== this.#self) return false;
      this.#set(state, { lent: { ...state.lent, until } });
      return true;
    });
  }

  /**
   * Takes back loans that the borrower returns.
   *
   * @param peer - The borrower.
   * @param loans - The loans that it names; those that ended otherwise are passed over.
   */
  receiveReturnedLoans(peer: InstanceId, loans: readonly Loan[]): void {
    loans.forEach((loan) => {
      const state = this.#findLent(peer, loan);
      if (state) this.#set(state, { lent: undefined });
    });
  }

  /**
   * Takes credits on loan.
   *
   * @param peer - The lender.
   * @param loans - The new or renewed loans.
   * @param askedAt - When this instance sent the message that the lender answers, on its own
   * clock. The loan is counted from there, so it ends here before it ends at the lender.
   */
  receiveLoans(peer: InstanceId, loans: readonly Loan[], askedAt: number): void {
    const now = this.#clock.now();
    const until = askedAt + loanMs;
    if (askedAt > now || until <= now) return;
    loans.forEach((loan) => {
      const state = this.#states.get(loan.endpoint)?.[loan.index];
      if (!state || state.home !== peer) return;
      const { borrowed } = state;
      // Messages may arrive in another order: a loan that was returned must not come back.
      if (borrowed?.peer === peer && borrowed.loan > loan.loan) return;
      if (borrowed?.peer === peer && borrowed.loan === loan.loan && borrowed.until > until) return;
      if (borrowed?.peer === peer && borrowed.loan === loan.loan && borrowed.until < 0) return;
      this.#set(state, { borrowed: { ...loan, peer, until } });
      this.#borrowedUntil = Math.max(this.#borrowedUntil, until);
    });
  }

  /**
   * Lists the loans to renew.
   *
   * @param withinMs - Loans that end within this time.
   * @returns Loans on which a call runs.
   */
  listRenewable(withinMs: number): PeerLoan[] {
    const before = this.#clock.now() + withinMs;
    return this.#listBorrowed()
      .filter(({ isBusy, borrowed }) => isBusy && borrowed.until <= before)
      .map(({ borrowed }) => borrowed);
  }

  /** @returns Free credits on loan. */
  countIdleLoans(): number {
    return this.#listBorrowed().filter(({ isBusy }) => !isBusy).length;
  }

  /**
   * Gives up idle loans.
   *
   * @param keep - Idle loans to keep.
   * @returns The loans to return to their lenders; they are no longer used here.
   */
  releaseIdleLoans(keep: number): PeerLoan[] {
    const idle = this.#listBorrowed().filter(({ isBusy }) => !isBusy);
    const dropped = idle.slice(keep);
    dropped.forEach((state) => {
      // Kept with its number, so that a late copy of the loan is recognised.
      this.#set(state, { borrowed: { ...state.borrowed, until: -1 } });
    });
    return dropped.map(({ borrowed }) => borrowed);
  }

  #makeState(endpoint: EndpointId, index: number, live: readonly InstanceId[]): State {
    const home = rankByHash(`${this.#service}/${endpoint}/${index}`, live)[0] as InstanceId;
    const known = this.#states.get(endpoint)?.[index];
    if (known?.home === home) return known;
    // A loan of the former home goes on until it ends; the new home knows nothing of it.
    return { endpoint, index, home, isBusy: known?.isBusy ?? false, borrowed: known?.borrowed };
  }

  #listFree(endpoint: EndpointId, limit = this.#findLimit(endpoint)): State[] {
    const states = this.#states.get(endpoint) ?? [];
    return states.filter((state) => state.index < limit && !state.isBusy && this.#isHeld(state));
  }

  #listBorrowed(): (State & { readonly borrowed: PeerLoan })[] {
    const now = this.#clock.now();
    // Loans are few, and this runs with each call.
    if (now >= this.#borrowedUntil) return [];
    return [...this.#states.values()]
      .flat()
      .filter(
        (state): state is State & { readonly borrowed: PeerLoan } =>
          state.home !== this.#self && (state.borrowed?.until ?? 0) > now,
      );
  }

  #isHeld(state: State): boolean {
    return isHeld(state, this.#self, this.#clock.now());
  }

  #listLendable(endpoint: EndpointId, limit?: number): State[] {
    const slots = (this.#states.get(endpoint)?.length ?? 0) / 2;
    return this.#listFree(endpoint, limit).filter(
      ({ home, index }) => home === this.#self && index < slots,
    );
  }

  #findLent(peer: InstanceId, { endpoint, index, loan }: Loan): State | undefined {
    const state = this.#states.get(endpoint)?.[index];
    const lent = state?.lent;
    if (!lent || lent.peer !== peer || lent.loan !== loan) return undefined;
    return lent.until > this.#clock.now() ? state : undefined;
  }

  #set({ endpoint, index }: Credit, change: Partial<State>): void {
    const states = this.#states.get(endpoint);
    const state = states?.[index];
    if (states && state) states[index] = { ...state, ...change };
  }
}

/** The time decides, not a timer: a paused holder finds its loan lapsed when it goes on. */
function isHeld({ home, lent, borrowed }: State, self: InstanceId, now: number): boolean {
  if (home === self) return !lent || lent.until <= now;
  return borrowed !== undefined && borrowed.until > now;
}
