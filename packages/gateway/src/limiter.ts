import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { MessageBody, MessageHandler, PeerError } from '@dotterelpass/peers';
import {
  QuotaClient,
  QuotaCoordinator,
  QuotaTransport,
  defaultQuotaBounds,
} from '@dotterelpass/quota';
import type {
  FleetLimiter,
  QuotaBounds,
  QuotaEvent,
  QuotaFailure,
  QuotaRequest,
  QuotaResponse,
  QuotaStatus,
} from '@dotterelpass/quota';
import type { LogFields, Logger, Metrics } from '@dotterelpass/telemetry';
import type { Clock, InstanceId, Random } from '@dotterelpass/values';
import type { GatewayConfig } from './catalog.js';

const requestType = 'quota';

/** Fleet size to assume until the number of instances has been read from the store. */
const assumedSize = 8;

/** Time by which the time limit of a message exceeds that of the exchange, which ends it. */
const graceMs = 100;

/** Exchanges messages with the other instances. */
export interface PeerMessenger {
  request(
    peer: InstanceId,
    type: string,
    body: MessageBody,
    timeoutMs: number,
  ): Promise<Result<MessageBody, PeerError>>;
  handle(type: string, handler: MessageHandler): void;
  /** Registers a function that is called when the connection to a peer has closed. */
  addCloseListener(listener: (peer: InstanceId) => void): void;
}

/** Sends the messages to coordinators over the connections to peers. */
export class PeerQuotaTransport extends QuotaTransport {
  readonly #getMessenger: () => PeerMessenger | undefined;

  readonly #clock: Clock;

  constructor(getMessenger: () => PeerMessenger | undefined, clock: Clock) {
    super();
    this.#getMessenger = getMessenger;
    this.#clock = clock;
  }

  override async request(
    peer: InstanceId,
    message: QuotaRequest,
    timeoutMs: number,
  ): Promise<Result<QuotaResponse, QuotaFailure>> {
    let timer: NodeJS.Timeout | undefined;
    // The time limit includes the opening of a connection.
    const timeout = new Promise<Result<QuotaResponse, QuotaFailure>>((resolve) => {
      const failure = {
        kind: 'unanswered',
        message: `no response within ${timeoutMs} ms`,
      } as const;
      // After a stall of the process, a response that has arrived is read before the time limit counts.
      timer = setTimeout(() => setImmediate(() => resolve(err(failure))), timeoutMs);
    });
    const response = await Promise.race([this.#send(peer, message, timeoutMs + graceMs), timeout]);
    clearTimeout(timer);
    return response;
  }

  async #send(
    peer: InstanceId,
    message: QuotaRequest,
    timeoutMs: number,
  ): Promise<Result<QuotaResponse, QuotaFailure>> {
    const messenger = this.#getMessenger();
    if (!messenger) return err({ kind: 'unanswered', message: 'no connections to peers yet' });
    const endAt = this.#clock.now() + timeoutMs;
    let result = await messenger.request(peer, requestType, { ...message }, timeoutMs);
    const restMs = endAt - this.#clock.now();
    if (result.isErr() && result.error.kind === 'closed' && restMs > 0) {
      // A new connection shows whether the process has ended.
      result = await messenger.request(peer, requestType, { ...message }, restMs);
    }
    if (result.isErr()) {
      const { kind, message: reason } = result.error;
      return err({ kind: kind === 'refused' ? 'gone' : 'unanswered', message: reason });
    }
    const response = parseResponse(result.value);
    return response
      ? ok(response)
      : err({ kind: 'unanswered', message: 'the response is malformed' });
  }
}

export interface FleetQuotaOptions {
  readonly instance: InstanceId;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly bounds: Partial<QuotaBounds>;
}

/** The part of this instance in the limits that all instances share. */
export class FleetQuota {
  readonly #options: FleetQuotaOptions;

  readonly #coordinator: QuotaCoordinator;

  readonly #client: QuotaClient;

  #messenger: PeerMessenger | undefined;

  #bounds: QuotaBounds;

  #peers: readonly InstanceId[] | undefined;

  #size = 1;

  #isActive = false;

  constructor(options: FleetQuotaOptions) {
    this.#options = options;
    const { instance, clock, random, metrics } = options;
    this.#bounds = { ...defaultQuotaBounds, ...options.bounds };
    const getBounds = () => this.#bounds;
    this.#coordinator = new QuotaCoordinator({ clock, random, getBounds });
    this.#client = new QuotaClient({
      self: instance,
      clock,
      random,
      transport: new PeerQuotaTransport(() => this.#messenger, clock),
      coordinator: this.#coordinator,
      assumedSize,
      getBounds,
      schedule: (action, delayMs) => {
        setTimeout(action, delayMs).unref();
      },
      onEvent: (event) => this.#reportEvent(event),
    });
    const { totals } = this.#client;
    metrics.addGauge(
      'quota_granted',
      'Tokens of shared limits that were used.',
      () => totals.granted,
    );
    metrics.addGauge('quota_denied', 'Requests beyond shared limits.', () => totals.denied);
    metrics.addGauge('quota_failovers', 'Changes to another coordinator.', () => totals.failovers);
    metrics.addGauge('quota_messages', 'Messages to coordinators.', () => totals.messages);
    metrics.addGauge('quota_limits', 'Shared limits in use here.', () => this.#client.limitCount);
  }

  get limiter(): FleetLimiter {
    return this.#client;
  }

  /** @param messenger - Carries the messages from now on. */
  setMessenger(messenger: PeerMessenger): void {
    this.#messenger = messenger;
    messenger.handle(requestType, (body, from) => {
      const request = parseRequest(body);
      if (!request) throw new RangeError('the quota request is malformed');
      return { ...this.#coordinator.handleRequest(from.instance, request) };
    });
    messenger.addCloseListener((peer) => this.#client.notifyClosed(peer));
  }

  /** @param config - The configuration in force; without limits, nothing is sent. */
  setConfig({ workspaces, services }: GatewayConfig): void {
    const hasQuota = (workspaces?.list() ?? []).some(({ ratePerSecond }) => ratePerSecond > 0);
    const hasWarmup = [...services.values()].some(
      ({ warmupRatePerSecond = 0 }) => warmupRatePerSecond > 0,
    );
    this.#isActive = hasQuota || hasWarmup;
    this.#updateInstances();
    this.#client.setActive(this.#isActive);
  }

  /** @param size - Number of instances, including those that were lost a short time ago. */
  setSize(size: number): void {
    this.#size = size;
    this.#updateInstances();
  }

  /** @param peers - The other registered instances. */
  setPeers(peers: readonly InstanceId[]): void {
    this.#peers = peers;
    this.#updateInstances();
  }

  setBounds(bounds: Partial<QuotaBounds>): void {
    this.#bounds = { ...defaultQuotaBounds, ...bounds };
  }

  /** Lets the other instances use other coordinators. */
  startDraining(): void {
    this.#coordinator.startDraining();
  }

  close(): void {
    this.#client.setActive(false);
  }

  /** @returns The state for operators; undefined while no limit is configured. */
  readStatus(): QuotaStatus | undefined {
    return this.#isActive ? this.#client.readStatus() : undefined;
  }

  #updateInstances(): void {
    if (this.#isActive && this.#peers) this.#client.setInstances(this.#peers, this.#size);
  }

  #reportEvent(event: QuotaEvent): void {
    const { log, metrics } = this.#options;
    metrics.recordEvent(`quota-${event.kind}`);
    log.info(`quota-${event.kind}`, buildLogFields(event));
  }
}

/** The log hides fields with the name `key`, so the name of a limit is logged as `limit`. */
function buildLogFields(event: QuotaEvent): LogFields {
  const { kind, ...fields } = event;
  if (!('limit' in fields)) return { ...fields };
  const { key, ...spec } = fields.limit;
  return { ...fields, ...spec, limit: key };
}

function parseRequest(body: MessageBody): QuotaRequest | undefined {
  const { groupCount, groups, questions } = body as Partial<QuotaRequest>;
  if (!Number.isSafeInteger(groupCount) || !Array.isArray(groups)) return undefined;
  const isValid =
    Array.isArray(questions) &&
    questions.every(
      ({ key, ratePerSecond, burst, version, ...counts }: Record<string, unknown>) =>
        typeof key === 'string' &&
        Number(ratePerSecond) > 0 &&
        [burst, version, counts.wanted, counts.returning, counts.returned, counts.denied].every(
          (value) => Number(value) >= 0,
        ),
    );
  return isValid ? (body as unknown as QuotaRequest) : undefined;
}

function parseResponse(body: MessageBody): QuotaResponse | undefined {
  const { stamp, answers } = body as Partial<QuotaResponse>;
  const isValid = typeof stamp?.epoch === 'number' && typeof stamp.at === 'number';
  return isValid && Array.isArray(answers) ? (body as unknown as QuotaResponse) : undefined;
}
