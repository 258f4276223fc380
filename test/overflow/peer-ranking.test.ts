/** Ranking of peers by announced capacity. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { reserveCapacity, rankPeers } from '../../src/overflow/peer-ranking.js';
import { seededRandom } from '../../src/model/random.js';
import type { FreeCapacity } from '../../src/peers/free-capacity.js';
import type { JobSpec } from '../../src/jobs/spec.js';
import type { SteadyMs } from '../../src/model/units.js';
import { buildJobSpec } from '../support/job-specs.js';

const spec = (changes: Partial<JobSpec> = {}): JobSpec => buildJobSpec({ tasks: 4, ...changes });

test('peers are ranked by zone and free capacity; expired announcements and reserved capacity do not count', () => {
  const capacity = (shard: number, zone: string, cpus: number, expires = 50): FreeCapacity =>
    ({
      shard,
      zone,
      expiresAt: expires,
      machines: [{ type: 't', zone, spot: false, cpus, gpus: 0, memoryGb: 64, count: 1 }],
    }) as unknown as FreeCapacity;
  const capacities = [
    capacity(0, 'west', 32),
    capacity(1, 'east', 4),
    capacity(2, 'east', 8),
    capacity(3, 'east', 64, 5),
  ];
  const ranking = (): string =>
    rankPeers(capacities, 'east' as never, spec(), null, 10 as SteadyMs, seededRandom(1))
      .map((peer) => `${peer.freeCapacity.shard}:${peer.capacity}`)
      .join(' ');
  assert.equal(ranking(), '2:4 1:2 0:16');
  reserveCapacity(capacities[2] as FreeCapacity, spec(), null, 3);
  assert.equal(ranking(), '1:2 2:1 0:16');
});
