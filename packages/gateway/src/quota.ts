import { buildWorkspaceLimit } from '@dotterelpass/quota';
import type { FleetLimiter, LimitSpec } from '@dotterelpass/quota';
import type { Call, CallResult, CallTrace } from './call.js';
import type { GatewayConfig } from './catalog.js';
import type { CallHandover } from './handover.js';

export interface LimitedSenderOptions {
  readonly sender: Pick<CallHandover, 'sendCall'>;
  readonly limiter: FleetLimiter;
  /** Returns the configuration in force. */
  getConfig(): GatewayConfig | undefined;
  /** Returns the window in which the requests of a workspace are counted, in milliseconds. */
  getQuotaWindowMs(): number;
}

/** Sends calls of workspaces that have a rate limit only with a token of it. */
export class LimitedSender {
  readonly #options: LimitedSenderOptions;

  constructor(options: LimitedSenderOptions) {
    this.#options = options;
  }

  /** See {@link CallHandover.sendCall}. */
  async sendCall(call: Call, trace: CallTrace): Promise<CallResult> {
    const { sender, limiter } = this.#options;
    const limit = this.#findLimit(call);
    if (!limit) return sender.sendCall(call, trace);
    const decision = await limiter.take(limit, call.isReturning);
    if (decision.kind === 'denied') {
      return {
        kind: 'failed',
        verdict: 'not-run',
        reason: 'quota',
        message: `workspace ${call.workspace?.name} exceeds its rate limit`,
        retryAfterMs: decision.retryAfterMs,
      };
    }
    const result = await sender.sendCall(call, trace);
    if (result.kind === 'failed' && result.verdict === 'not-run') limiter.giveBack(limit.key);
    return result;
  }

  /** A call that another instance hands over has a token already. */
  #findLimit({ workspace, handedOverBy }: Call): LimitSpec | undefined {
    if (!workspace || !(workspace.ratePerSecond > 0) || handedOverBy !== undefined)
      return undefined;
    const { name } = workspace;
    // A configuration that came into force since the call was received may have changed the limit. A
    // limit under the wrong version would stay in force on the coordinator.
    const { getConfig, getQuotaWindowMs } = this.#options;
    const config = getConfig();
    const current = config?.workspaces?.findByName(name);
    const { ratePerSecond, burst } = current ?? workspace;
    if (!(ratePerSecond > 0)) return undefined;
    const version = current ? (config?.version ?? 0) : 0;
    const quota = { name, ratePerSecond, burst, version };
    return buildWorkspaceLimit(quota, { quotaWindowMs: getQuotaWindowMs() });
  }
}
