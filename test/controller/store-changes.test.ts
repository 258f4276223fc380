import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StoreChangeDispatcher } from '../../src/controller/store-changes.js';
import { ClusterClock } from '../../src/jobs/cluster-clock.js';
import { encodeRecord } from '../../src/jobs/codec.js';
import { JobRecordCache } from '../../src/jobs/job-record-cache.js';
import { silentLog } from '../../src/logging/log.js';
import { RangeSet } from '../../src/model/ranges.js';
import { revision, steady } from '../../src/model/units.js';
import { RegisteredMachines } from '../../src/shards/registered-machines.js';
import { buildJobSpec } from '../support/job-specs.js';

const NOW = steady(1000);

/** A dispatcher with listeners that record their calls. */
function fixture() {
  const calls: unknown[][] = [];
  const context = {
    activeJobs: new JobRecordCache(),
    registeredMachines: new RegisteredMachines(),
    clusterClock: new ClusterClock(),
    clock: { now: () => NOW },
    log: silentLog(),
    shards: new Map(),
    settings: { shards: [0, 1, 2] },
    store: { setControllerCount: (count: number) => calls.push(['controllers', count]) },
    storeCache: { *entriesUnder() {} },
    requestCycle: () => calls.push(['request cycle']),
  };
  const dispatcher = new StoreChangeDispatcher(context, {
    leadership: { onShardRecord: (key) => calls.push(['shard', key]) },
    workers: { onMachineChanged: (id, record) => calls.push(['machine', id, record?.shard ?? null]) },
    scheduler: {
      onJobRecord: (id, record) => calls.push(['job', id, record?.spec.tasks ?? null]),
      stopJob: (id) => calls.push(['stop', id]),
      requestUrgentCycle: () => calls.push(['request urgent cycle']),
    },
    autoscaler: { forgetPending: (id) => calls.push(['registered', id]) },
  });
  const dispatch = (key: string, value: unknown): unknown[][] => {
    calls.length = 0;
    dispatcher.dispatch(key, value, revision(5));
    return [...calls];
  };
  return { context, dispatch };
}

const jobRecord = (changes: Parameters<typeof buildJobSpec>[0]): unknown =>
  encodeRecord({
    spec: buildJobSpec(changes),
    homeShard: 0 as never,
    acceptedRevision: 3 as never,
    acceptedAt: 700 as never,
    assignments: [{ from: 0, to: 1, shard: 0 as never, zone: null }],
    done: RangeSet.empty(),
  });

test('a job record is passed to the scheduler, and the cluster clock follows its time of acceptance', () => {
  const { context, dispatch } = fixture();
  assert.deepEqual(dispatch('c/live/req-1', jobRecord({})), [['job', 'req-1', 1], ['request cycle']]);
  assert.equal(context.activeJobs.has('req-1' as never), true);
  assert.equal(context.clusterClock.now(NOW), 700);
});

test('a critical job requests an urgent cycle', () => {
  const { dispatch } = fixture();
  assert.deepEqual(dispatch('c/live/req-1', jobRecord({ priority: 0 })), [
    ['job', 'req-1', 1],
    ['request urgent cycle'],
    ['request cycle'],
  ]);
});

test('a deleted job record stops the job', () => {
  const { dispatch } = fixture();
  dispatch('c/live/req-1', jobRecord({}));
  assert.deepEqual(dispatch('c/live/req-1', undefined), [
    ['job', 'req-1', null],
    ['stop', 'req-1'],
    ['request cycle'],
  ]);
});

test('a job record that cannot be read stops nothing', () => {
  const { context, dispatch } = fixture();
  dispatch('c/live/req-1', jobRecord({}));
  assert.deepEqual(dispatch('c/live/req-1', { parts: 'none' }), [['request cycle']]);
  assert.equal(context.activeJobs.has('req-1' as never), true);
});

test('a registered machine is no longer pending; only the workers are notified of a deleted registration', () => {
  const { context, dispatch } = fixture();
  const record = { part: 2, address: '10.0.0.9:1', type: 'large', zone: 'east', spot: false };
  assert.deepEqual(dispatch('c/machines/m-1', record), [
    ['registered', 'm-1'],
    ['machine', 'm-1', 2],
    ['request cycle'],
  ]);
  assert.equal(context.registeredMachines.size, 1);
  assert.deepEqual(dispatch('c/machines/m-1', undefined), [['machine', 'm-1', null], ['request cycle']]);
  assert.equal(context.registeredMachines.size, 0);
});

test('shard records are passed to the leadership, and membership changes set the number of controllers that share the store limits', () => {
  const { dispatch } = fixture();
  assert.deepEqual(dispatch('c/parts/1', {}), [['shard', 'c/parts/1'], ['request cycle']]);
  assert.deepEqual(dispatch('c/alive/n1', {}), [['controllers', 1], ['request cycle']]);
});

test('the stored time advances the cluster clock', () => {
  const { context, dispatch } = fixture();
  assert.deepEqual(dispatch('c/time', { ms: 900 }), [['request cycle']]);
  assert.equal(context.clusterClock.now(NOW), 900);
});
