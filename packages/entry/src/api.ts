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
import { ByteCollector, namePattern, systemClock, systemRandom } from '@dotterelpass/values';
import type { ServiceId } from '@dotterelpass/values';
import { z } from 'zod';
import type { ConfigWatcher } from './config.js';
import type { PlatformDocumentStore } from './documents.js';
import type { FleetStatus } from './fleet.js';
import { OperatorQueries } from './queries.js';
import type { SuspectRegistry } from './queries.js';

/** Size limit for a request body, in bytes. */
const maxBodyBytes = 64 * 1024;

const minBackoffMs = 20;
const maxBackoffMs = 500;

const commandSchema = z.strictObject({
  commandId: commandIdSchema,
  author: authorSchema,
  command: changeSchema,
  expectedRevision: z.number().int().min(0).optional(),
  /** Set by a client that sent the command before and received no answer. */
  repeated: z.boolean().default(false),
});

const settleSchema = z.strictObject({ service: z.string().regex(namePattern) });

/** Services that the operator API uses. */
export interface OperatorApiDependencies {
  /** Bearer token of operators; when undefined, all commands and queries are refused. */
  readonly token: string | undefined;
  readonly config: ConfigWatcher;
  readonly documents: PlatformDocumentStore;
  readonly fleet: FleetStatus;
  readonly suspects?: SuspectRegistry | undefined;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** A refused request; the operator receives the status, the reason and the message. */
class RequestError extends Error {
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
  readonly #dependencies: OperatorApiDependencies;

  readonly #tokenHash: Buffer | undefined;

  readonly #queries: OperatorQueries;

  readonly #acceptor: Acceptor;

  constructor(dependencies: OperatorApiDependencies) {
    this.#dependencies = dependencies;
    this.#tokenHash = dependencies.token === undefined ? undefined : hashToken(dependencies.token);
    this.#queries = new OperatorQueries(
      dependencies.config,
      dependencies.fleet,
      dependencies.suspects,
    );
    this.#acceptor = new Acceptor({
      store: dependencies.documents,
      activeConfiguration: dependencies.config.activeConfiguration,
      fleet: dependencies.fleet,
      activate: (document) => dependencies.config.offer(document, 'operator'),
      clock: systemClock,
      sleep: sleepWithJitter,
    });
  }

  /**
   * Serves one request of an operator.
   *
   * @param request - The request, whose path begins with `/v1/`.
   * @param response - Receives the answer.
   */
  async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    try {
      this.#checkToken(request);
      const url = new URL(request.url ?? '/', 'http://operator');
      const [, , subject = '', id, action] = url.pathname.split('/');
      const route = [request.method, subject, id === undefined ? '' : 'ID', action]
        .join(' ')
        .trim();
      if (route === 'POST commands') await this.#acceptCommand(request, response);
      else if (route === 'GET commands ID') await this.#findCommand(url, String(id), response);
      else if (route === 'POST commands ID settle') {
        await this.#settleCommand(request, String(id), response);
      } else if (route === 'POST suspects ID lift') await this.#liftBan(String(id), response);
      else if (route === `GET ${subject}`) await this.#listRows(subject, response);
      else
        throw new RequestError(404, 'unknown-path', `this path does not support ${request.method}`);
    } catch (error) {
      if (!(error instanceof RequestError)) throw error;
      if (error.status === 401) response.setHeader('www-authenticate', 'Bearer');
      // Closing a connection with unread data can discard the answer, so the rest is read.
      request.resume();
      sendJson(response, error.status, { error: error.reason, message: error.message });
    }
  }

  #checkToken(request: IncomingMessage): void {
    if (!this.#tokenHash) {
      throw new RequestError(403, 'no-token', 'this instance runs without --operator-token');
    }
    const given = /^Bearer (.+)$/i.exec(request.headers.authorization ?? '')?.[1];
    // Hashes have equal lengths, so the comparison takes the same time for every token.
    if (given === undefined || !timingSafeEqual(hashToken(given), this.#tokenHash)) {
      this.#dependencies.metrics.recordEvent('operator-refused');
      throw new RequestError(401, 'bad-token', 'the bearer token is missing or wrong');
    }
  }

  async #acceptCommand(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readJson(request, commandSchema);
    const { commandId, author, command, expectedRevision, repeated } = body;
    const answer = await this.#acceptor.accept(
      { commandId, author, atMs: systemClock.readWallTime(), change: command },
      { expectedRevision, repeated },
    );
    this.#recordCommand(answer, author, command);
    sendResult(response, answer);
  }

  async #settleCommand(
    request: IncomingMessage,
    id: string,
    response: ServerResponse,
  ): Promise<void> {
    const { service } = await readJson(request, settleSchema);
    sendResult(response, await this.#acceptor.settle(parseCommandId(id), service as ServiceId));
  }

  async #findCommand(url: URL, id: string, response: ServerResponse): Promise<void> {
    const commandId = parseCommandId(id);
    const service = url.searchParams.get('service') ?? undefined;
    const active = [...this.#dependencies.config.activeConfiguration.documents.values()];
    const holdsCommand = (document: (typeof active)[number]) =>
      findRevision(document, commandId) !== undefined;
    let found = active.find(holdsCommand);
    if (!found) {
      const stored = await this.#dependencies.documents.list();
      if (stored.isErr()) throw new RequestError(503, 'platform-unavailable', stored.error.message);
      found = stored.value.find(holdsCommand);
    }
    if (found) {
      const revision = findRevision(found, commandId) as number;
      sendResult(response, { kind: 'accepted', commandId, service: found.service.name, revision });
      return;
    }
    sendJson(response, 404, {
      kind: 'unknown',
      commandId,
      message:
        'no document contains the command, but a write in progress may still add it. ' +
        'Settle the command to prevent that.',
      settle: `settle ${commandId} for ${service ?? 'SERVICE'}`,
    });
  }

  async #liftBan(fingerprint: string, response: ServerResponse): Promise<void> {
    if (!this.#dependencies.suspects)
      throw new RequestError(404, 'unknown-path', 'this instance does not track suspects');
    const lifted = await this.#dependencies.suspects.lift(fingerprint);
    if (!lifted) throw new RequestError(404, 'not-found', 'no ban or suspect has this fingerprint');
    this.#dependencies.log.info('ban-lifted', { fingerprint });
    sendJson(response, 200, { kind: 'lifted', fingerprint });
  }

  async #listRows(subject: string, response: ServerResponse): Promise<void> {
    const rows = await this.#queries.list(subject);
    if (!rows) throw new RequestError(404, 'unknown-path', `the query ${subject} does not exist`);
    sendJson(response, 200, { rows });
  }

  #recordCommand(answer: CommandResult, author: string, change: Change): void {
    const { kind, commandId } = answer;
    this.#dependencies.metrics.recordEvent(`command-${kind}`, change.service);
    this.#dependencies.log.info('command', {
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

/** Sends the result of a command with the HTTP status for its outcome. */
function sendResult(response: ServerResponse, answer: CommandResult): void {
  if (answer.kind === 'accepted') sendJson(response, 200, answer);
  else if (answer.kind === 'undecided') {
    const { commandId, service } = answer;
    const query = `GET /v1/commands/${commandId}?service=${service}`;
    sendJson(response, 202, { ...answer, query });
  } else sendJson(response, findHttpStatus(answer.reason), answer);
}

function findHttpStatus(reason: Extract<CommandResult, { kind: 'rejected' }>['reason']): number {
  if (reason === 'bad-command' || reason === 'too-large') return 422;
  if (reason === 'not-found') return 404;
  return reason === 'platform-unavailable' || reason === 'platform-went-back' ? 503 : 409;
}

async function readJson<Schema extends z.ZodType>(
  request: IncomingMessage,
  schema: Schema,
): Promise<z.infer<Schema>> {
  const bytes = new ByteCollector();
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    bytes.add(chunk as Buffer);
    if (bytes.size > maxBodyBytes) {
      throw new RequestError(413, 'too-large', `the body is larger than ${maxBodyBytes} bytes`);
    }
  }
  let value: unknown;
  try {
    value = JSON.parse(bytes.toBuffer().toString());
  } catch {
    throw new RequestError(400, 'bad-json', 'the body is not valid JSON');
  }
  const parsed = schema.safeParse(value);
  if (!parsed.success) throw new RequestError(400, 'bad-command', z.prettifyError(parsed.error));
  return parsed.data;
}

function parseCommandId(id: string): string {
  const parsed = commandIdSchema.safeParse(id);
  if (!parsed.success) throw new RequestError(400, 'bad-command', z.prettifyError(parsed.error));
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
  const upperBoundMs = Math.min(maxBackoffMs, minBackoffMs * 2 ** Math.min(tries, 10));
  await new Promise((resolve) => {
    setTimeout(resolve, upperBoundMs * systemRandom.next());
  });
}
