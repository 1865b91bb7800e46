import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  Acceptor,
  authorSchema,
  changeSchema,
  commandIdSchema,
  findRevision,
} from '@dotterelpass/configuration';
import type { CommandResult, Change } from '@dotterelpass/configuration';
import type { Logger, Metrics } from '@dotterelpass/telemetry';
import { namePattern, systemClock, systemRandom } from '@dotterelpass/values';
import type { ServiceId } from '@dotterelpass/values';
import { z } from 'zod';
import type { ConfigWatcher } from './config.js';
import type { PlatformDocumentStore } from './documents.js';
import type { FleetStatus } from './fleet.js';
import { OperatorQueries } from './queries.js';
import type { SuspectRegistry } from './queries.js';

/** Largest body of a command. */
const maxBodyBytes = 64 * 1024;

const minSleepMs = 20;
const maxSleepMs = 500;

const commandSchema = z.strictObject({
  commandId: commandIdSchema,
  author: authorSchema,
  command: changeSchema,
  expectedRevision: z.number().int().min(0).optional(),
  /** Set by a client that sent the command before and got no answer. */
  repeated: z.boolean().default(false),
});

const settleSchema = z.strictObject({ service: z.string().regex(namePattern) });

/** Parts that the desk works with. */
export interface OperatorApiDependencies {
  /** Token of operators; without one, commands and queries are refused. */
  readonly token: string | undefined;
  readonly config: ConfigWatcher;
  readonly documents: PlatformDocumentStore;
  readonly fleet: FleetStatus;
  readonly suspects?: SuspectRegistry | undefined;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** An error that is told to the operator. */
class BadRequest extends Error {
  constructor(
    readonly status: number,
    readonly reason: string,
    message: string,
  ) {
    super(message);
  }
}

/** Serves the commands and queries of operators below `/v1/`. */
export class OperatorApi {
  readonly #parts: OperatorApiDependencies;

  readonly #tokenHash: Buffer | undefined;

  readonly #queries: OperatorQueries;

  readonly #acceptor: Acceptor;

  constructor(parts: OperatorApiDependencies) {
    this.#parts = parts;
    this.#tokenHash = parts.token === undefined ? undefined : hashToken(parts.token);
    this.#queries = new OperatorQueries(parts.config, parts.fleet, parts.suspects);
    this.#acceptor = new Acceptor({
      store: parts.documents,
      activeConfiguration: parts.config.inForce,
      fleet: parts.fleet,
      activate: (document) => parts.config.offer(document, 'operator'),
      clock: systemClock,
      sleep: sleepWithJitter,
    });
  }

  /**
   * Answers one call of an operator.
   *
   * @param request - The call.
   * @param response - Where its answer goes.
   */
  async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      this.#checkToken(request);
      const url = new URL(request.url ?? '/', 'http://operator');
      const [, , subject = '', id, action] = url.pathname.split('/');
      const call = [request.method, subject, id === undefined ? '' : 'ID', action].join(' ').trim();
      if (call === 'POST commands') await this.#accept(request, response);
      else if (call === 'GET commands ID') await this.#find(url, String(id), response);
      else if (call === 'POST commands ID settle') {
        await this.#settle(request, String(id), response);
      } else if (call === 'POST suspects ID lift') await this.#lift(String(id), response);
      else if (call === `GET ${subject}`) await this.#list(subject, response);
      else throw new BadRequest(404, 'unknown-path', `there is no ${request.method} on this path`);
    } catch (error) {
      if (!(error instanceof BadRequest)) throw error;
      if (error.status === 401) response.setHeader('www-authenticate', 'Bearer');
      // A connection that is closed with unread data loses the answer, so the rest is read.
      request.resume();
      sendJson(response, error.status, { error: error.reason, message: error.message });
    }
  }

  #checkToken(request: IncomingMessage): void {
    if (!this.#tokenHash) {
      throw new BadRequest(403, 'no-token', 'this instance runs without --operator-token');
    }
    const given = /^Bearer (.+)$/i.exec(request.headers.authorization ?? '')?.[1];
    // Hashes have equal lengths, so the comparison takes the same time for every token.
    if (given === undefined || !timingSafeEqual(hashToken(given), this.#tokenHash)) {
      this.#parts.metrics.recordEvent('operator-refused');
      throw new BadRequest(401, 'bad-token', 'the bearer token is missing or wrong');
    }
  }

  async #accept(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readJson(request, commandSchema);
    const { commandId, author, command, expectedRevision, repeated } = body;
    const answer = await this.#acceptor.accept(
      { commandId, author, atMs: systemClock.wall(), change: command },
      { expectedRevision, repeated },
    );
    this.#record(answer, author, command);
    sendAnswer(response, answer);
  }

  async #settle(request: IncomingMessage, id: string, response: ServerResponse): Promise<void> {
    const { service } = await readJson(request, settleSchema);
    sendAnswer(response, await this.#acceptor.settle(checkId(id), service as ServiceId));
  }

  async #find(url: URL, id: string, response: ServerResponse): Promise<void> {
    const commandId = checkId(id);
    const service = url.searchParams.get('service') ?? undefined;
    const held = [...this.#parts.config.inForce.documents.values()];
    const isIt = (document: (typeof held)[number]) =>
      findRevision(document, commandId) !== undefined;
    let found = held.find(isIt);
    if (!found) {
      const stored = await this.#parts.documents.list();
      if (stored.isErr()) throw new BadRequest(503, 'platform-unavailable', stored.error.message);
      found = stored.value.find(isIt);
    }
    if (found) {
      const revision = findRevision(found, commandId) as number;
      sendAnswer(response, { kind: 'accepted', commandId, service: found.service.name, revision });
      return;
    }
    sendJson(response, 404, {
      kind: 'unknown',
      commandId,
      message:
        'no document holds the command; a write that is under way may still bring it. ' +
        'Settle it to rule that out.',
      settle: `settle ${commandId} for ${service ?? 'SERVICE'}`,
    });
  }

  async #lift(fingerprint: string, response: ServerResponse): Promise<void> {
    if (!this.#parts.suspects) throw new BadRequest(404, 'unknown-path', 'there are no suspects');
    const lifted = await this.#parts.suspects.lift(fingerprint);
    if (!lifted) throw new BadRequest(404, 'not-found', 'no ban has this fingerprint');
    this.#parts.log.info('ban-lifted', { fingerprint });
    sendJson(response, 200, { kind: 'lifted', fingerprint });
  }

  async #list(subject: string, response: ServerResponse): Promise<void> {
    const rows = await this.#queries.list(subject);
    if (!rows) throw new BadRequest(404, 'unknown-path', `there is no list of ${subject}`);
    sendJson(response, 200, { rows });
  }

  #record(answer: CommandResult, author: string, change: Change): void {
    const { kind, commandId } = answer;
    this.#parts.metrics.recordEvent(`command-${kind}`, change.service);
    this.#parts.log.info('command', {
      outcome: kind,
      commandId,
      author,
      service: change.service,
      change: change.kind,
      ...(answer.kind === 'accepted' ? { revision: answer.revision } : {}),
      ...(answer.kind === 'rejected' ? { reason: answer.reason } : {}),
    });
  }
}

/** Sends the answer to a command; the status follows the outcome. */
function sendAnswer(response: ServerResponse, answer: CommandResult): void {
  if (answer.kind === 'accepted') sendJson(response, 200, answer);
  else if (answer.kind === 'undecided') {
    const { commandId, service } = answer;
    const query = `GET /v1/commands/${commandId}?service=${service}`;
    sendJson(response, 202, { ...answer, query });
  } else sendJson(response, findStatus(answer.reason), answer);
}

function findStatus(reason: Extract<CommandResult, { kind: 'rejected' }>['reason']): number {
  if (reason === 'bad-command' || reason === 'too-large') return 422;
  if (reason === 'not-found') return 404;
  return reason === 'platform-unavailable' || reason === 'platform-went-back' ? 503 : 409;
}

async function readJson<Schema extends z.ZodType>(
  request: IncomingMessage,
  schema: Schema,
): Promise<z.infer<Schema>> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    size += (chunk as Buffer).length;
    if (size > maxBodyBytes) {
      throw new BadRequest(413, 'too-large', `a body has at most ${maxBodyBytes} bytes`);
    }
    chunks.push(chunk as Buffer);
  }
  let value: unknown;
  try {
    value = JSON.parse(Buffer.concat(chunks).toString());
  } catch {
    throw new BadRequest(400, 'bad-json', 'the body is not JSON');
  }
  const parsed = schema.safeParse(value);
  if (!parsed.success) throw new BadRequest(400, 'bad-command', z.prettifyError(parsed.error));
  return parsed.data;
}

function checkId(id: string): string {
  const parsed = commandIdSchema.safeParse(id);
  if (!parsed.success) throw new BadRequest(400, 'bad-command', z.prettifyError(parsed.error));
  return parsed.data;
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(`${JSON.stringify(value)}\n`);
}

function hashToken(token: string): Buffer {
  return createHash('sha256').update(token).digest();
}

async function sleepWithJitter(tries: number): Promise<void> {
  const bound = Math.min(maxSleepMs, minSleepMs * 2 ** Math.min(tries, 10));
  await new Promise((resolve) => {
    setTimeout(resolve, bound * systemRandom.next());
  });
}
