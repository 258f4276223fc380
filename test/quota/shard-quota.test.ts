/** Division of a team’s quota among shards, and the amount that a shard may transfer. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ZERO, type Resources } from '../../src/model/resources.js';
import { decodeQuotas, encodeQuotas } from '../../src/quota/codec.js';
import { evenQuotas, transferableQuota, moveQuota } from '../../src/quota/shard-quota.js';
import { buildTeam } from '../support/job-specs.js';

test('shard quotas never add up to more than the quota, and a donor keeps the quota that it uses and needs', () => {
  const team = buildTeam({ cpus: 10, cpusMax: 112 });
  const cpus = (amount: number): Resources => ({ ...ZERO, cpus: amount });
  const even = evenQuotas(team, 3);
  assert.deepEqual(
    even.map((quota) => quota.cpus),
    [38, 37, 37],
  );
  const moved = moveQuota(even, 0 as never, 2 as never, cpus(8));
  assert.equal(
    moved.reduce((sum, quota) => sum + quota.cpus, 0),
    112,
  );
  assert.deepEqual(decodeQuotas(encodeQuotas(team, moved), team, 3), moved);
  assert.deepEqual(
    decodeQuotas(encodeQuotas(team, moved), buildTeam({ cpus: 10, cpusMax: 100 }), 3),
    evenQuotas(buildTeam({ cpus: 10, cpusMax: 100 }), 3),
  );
  assert.deepEqual(transferableQuota(cpus(38), cpus(20), cpus(10), cpus(50)), cpus(8));
});
