import { FleetLimiter } from '@dotterelpass/quota';
import type { QuotaDecision } from '@dotterelpass/quota';

/** Grants every request, where no limits are kept. */
export class UnlimitedLimiter extends FleetLimiter {
  override async take(): Promise<QuotaDecision> {
    return { kind: 'granted' };
  }

  override giveBack(): void {}
}
