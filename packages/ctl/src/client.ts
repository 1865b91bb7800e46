import { request } from 'node:http';
import type { Change } from '@dotterelpass/configuration';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** What an operator port answered. */
export interface OperatorReply {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Why there was no answer. `unsent` proves that the request was not handed over. */
export interface NoReply {
  readonly kind: 'unsent' | 'lost';
  readonly message: string;
}

/** A command as the operator port takes it. */
export interface CommandRequest {
  readonly commandId: string;
  readonly author: string;
  readonly command: Change;
  readonly expectedRevision?: number | undefined;
}

/** Asks the operator ports of entry instances, one after the other until one answers. */
export class OperatorClient {
  readonly #addresses: readonly string[];

  readonly #token: string;

  readonly #timeoutMs: number;

  /**
   * @param addresses - IP addresses and ports, in the order in which they are tried.
   * @param token - The operators' token.
   * @param timeoutMs - Longest wait for one answer, in milliseconds.
   */
  constructor(addresses: readonly string[], token: string, timeoutMs: number) {
    if (addresses.length === 0) throw new RangeError('no operator address is given');
    this.#addresses = addresses;
    this.#token = token;
    this.#timeoutMs = timeoutMs;
  }

  /**
   * Sends a command. When an instance is lost before it answers, the next one gets the same
   * command id, so that the command is accepted at most once.
   *
   * @param command - The command.
   * @returns The answer, or `lost` when the command may have been accepted.
   */
  async sendCommand(command: CommandRequest): Promise<Result<OperatorReply, NoReply>> {
    return this.#request('POST', '/v1/commands', (repeated) => ({ ...command, repeated }));
  }

  /**
   * Settles a command whose answer is missing.
   *
   * @param commandId - The command.
   * @param service - Its service; without it the command is only looked up.
   */
  async settle(commandId: string, service?: string): Promise<Result<OperatorReply, NoReply>> {
    const path = `/v1/commands/${encodeURIComponent(commandId)}`;
    if (service === undefined) return this.#request('GET', path);
    return this.#request('POST', `${path}/settle`, () => ({ service }));
  }

  /** Lifts the ban of a request that crashed endpoints. */
  async liftBan(fingerprint: string): Promise<Result<OperatorReply, NoReply>> {
    return this.#request(
      'POST',
      `/v1/suspects/${encodeURIComponent(fingerprint)}/lift`,
      () => ({}),
    );
  }

  /** Lists the rows of a subject, such as `endpoints`. */
  async list(subject: string): Promise<Result<OperatorReply, NoReply>> {
    return this.#request('GET', `/v1/${subject}`);
  }

  async #request(
    method: string,
    path: string,
    makeBody?: (repeated: boolean) => object,
  ): Promise<Result<OperatorReply, NoReply>> {
    let repeated = false;
    const failures: string[] = [];
    for (const address of this.#addresses) {
      const body = makeBody ? Buffer.from(JSON.stringify(makeBody(repeated))) : undefined;
      const reply = await this.#send(address, method, path, body);
      if (reply.isOk()) return reply;
      repeated ||= reply.error.kind === 'lost';
      failures.push(`${address}: ${reply.error.message}`);
    }
    return err({ kind: repeated ? 'lost' : 'unsent', message: failures.join('; ') });
  }

  async #send(
    address: string,
    method: string,
    path: string,
    body: Buffer | undefined,
  ): Promise<Result<OperatorReply, NoReply>> {
    const [host = '', port = ''] = address.split(':');
    return new Promise((resolve) => {
      const outgoing = request({
        host,
        port: Number(port),
        method,
        path,
        agent: false,
        headers: {
          authorization: `Bearer ${this.#token}`,
          ...(body ? { 'content-type': 'application/json', 'content-length': body.length } : {}),
        },
      });
      const lose = (message: string) => resolve(err({ kind: 'lost', message }));
      const timer = setTimeout(() => {
        outgoing.destroy(new Error(`no answer in ${this.#timeoutMs} ms`));
      }, this.#timeoutMs);
      outgoing.on('close', () => clearTimeout(timer));
      outgoing.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code === 'ECONNREFUSED') resolve(err({ kind: 'unsent', message: error.message }));
        else lose(error.message);
      });
      outgoing.on('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', (error) => lose(error.message));
        response.on('end', () => {
          try {
            const value = JSON.parse(Buffer.concat(chunks).toString()) as OperatorReply['body'];
            resolve(ok({ status: response.statusCode ?? 0, body: value }));
          } catch {
            lose(`the answer with status ${response.statusCode ?? 0} is not JSON`);
          }
        });
      });
      outgoing.end(body);
    });
  }
}
