/** The quota that a shard announces as unused. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Core } from '../../src/core.js';
import { Shard } from '../../src/shards/model.js';
import { QuotaTransferService } from '../../src/quota/transfer-service.js';
import { RangeSet } from '../../src/model/ranges.js';
import { StoreCache } from '../../src/store/cache.js';
import type { ShardId, SteadyMs } from '../../src/model/units.js';
import { buildJobSpec, buildTeam } from '../support/job-specs.js';
import { syncConfirmedJob } from '../support/confirmed-job.js';

test('a shard whose tasks wait for capacity announces its unused quota', () => {
  const red = buildTeam({ cpus: 12, cpusMax: 24 });
  const settings = { teams: new Map([[red.name, red]]), shards: [{ shard: 0 }, { shard: 1 }, { shard: 2 }] };
  const transferService = new QuotaTransferService({
    settings,
    storeCache: new StoreCache(() => undefined),
  } as unknown as Core);
  const shard = new Shard(0 as ShardId, 1 as never, 1 as never, 0 as SteadyMs, new Map());
  shard.reconciled = true;
  const assignments = [{ from: 0, to: 10, shard: shard.id, zone: null }];
  const record = { spec: buildJobSpec({ tasks: 10 }), assignments, done: RangeSet.empty() } as never;
  syncConfirmedJob(shard, record, 1 as never, 0 as SteadyMs, false);
  const unusedCpus = (): number => transferService.unusedQuota(shard).get(red.name)?.cpus ?? 0;
  assert.equal(unusedCpus(), 0, 'the shard needs all of it, because its own tasks may start immediately');
  shard.teamsBlockedByCapacity = new Set([red.name]);
  assert.equal(unusedCpus(), 7, '7 of 8: a small part is kept for capacity that becomes free');
});
