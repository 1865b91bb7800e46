import { setTimeout as sleep } from 'node:timers/promises';
import { runCase } from '../standins-3/poison.js';

await runCase('review/13', async (bed, hasTrouble) => {
  bed.setEffect(() => (hasTrouble ? 'crash-in-answer' : undefined));
  for (let index = 0; index < 40; index++) {
    void bed.sendPoison(bed.gateways[index % bed.gateways.length]);
    await sleep(500);
  }
});
