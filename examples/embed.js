// Decides about three calls in one process, without sockets: which endpoint answers next, which
// call is refused at once, and whether a request with a ticket may run again.
import { Buffer } from 'node:buffer';
import process from 'node:process';
import { AdmissionQueue } from '@dotterelpass/admission';
import { TicketIssuer } from '@dotterelpass/once';
import { CreditPolicy, Health } from '@dotterelpass/selection';
import { systemClock, systemRandom } from '@dotterelpass/values';

const print = (text) => process.stdout.write(`${text}\n`);

const health = new Health(systemClock);
health.recordResponse('status-1', 'inquiry', 5);
health.recordResponse('status-2', 'inquiry', 40);
const policy = new CreditPolicy(systemRandom);
const chosen = policy.pick(
  ['status-1', 'status-2'].map((id) => ({
    id,
    inFlight: 0,
    expectedMs: health.estimateLatencyMs(id, 0.5),
  })),
);
print(`the next call goes to ${chosen.id}`);

const queue = new AdmissionQueue(systemClock, { queue: 1, slots: 1, weights: new Map() });
const makeCall = (tenant) => ({
  tenant,
  priority: 5,
  deadlineMs: 200,
  deadlineAt: systemClock.now() + 200,
});
for (const tenant of ['pensioners', 'notaries']) {
  queue.enqueue(makeCall(tenant)).match(
    () => print(`the call of ${tenant} waits for a slot`),
    ({ message }) => print(`the call of ${tenant} is refused, not run: ${message}`),
  );
}

const issuer = new TicketIssuer(
  'entry-1',
  'run-1',
  Buffer.from('a key of this example'),
  systemClock,
);
const ticket = issuer.issue();
print(`a ticket names its instance: ${ticket.split('.').slice(0, 3).join('.')}`);
