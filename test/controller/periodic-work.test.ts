import assert from 'node:assert/strict';
import { test } from 'node:test';
import { PeriodicWork, type PeriodicServices } from '../../src/controller/periodic-work.js';
import { InvariantMonitor } from '../../src/logging/invariant-monitor.js';
import { silentLog } from '../../src/logging/log.js';
import { ZERO } from '../../src/model/resources.js';
import { StoreCache } from '../../src/store/cache.js';
import { SimulatedClock } from '../support/simulated-clock.js';

/** Starts periodic work with services that record their calls, and returns the calls within the given time. */
async function callsWithin(ms: number): Promise<string[]> {
  const calls: string[] = [];
  const record = (call: string) => (): void => {
    calls.push(call);
  };
  const services: PeriodicServices = {
    leadership: { tick: record('leadership'), eventCounts: () => ({}) },
    progress: { tick: record('progress') },
    clusterClockWriter: { tick: record('cluster clock') },
    autoscaler: { scaleOutShards: record('scale out'), scaleInShards: record('scale in') },
    workers: {
      expireLeases: record('expire leases'),
      closeUnusedClients: record('close clients'),
      heartbeatRefusals: () => ({}),
      commandCounts: () => ({}),
    },
    machineTransfers: { expireCordons: record('expire cordons') },
    scheduler: { eventCounts: () => ({}) },
    quotaTransfers: { shardQuota: () => ZERO },
    peerMessages: { announce: record('announce') },
  };
  const clock = new SimulatedClock();
  const periodicWork = new PeriodicWork(
    {
      clock,
      log: silentLog(),
      shards: new Map(),
      storeCache: new StoreCache(() => undefined),
      invariants: new InvariantMonitor(silentLog()),
      heartbeatIntervalMs: 1500,
      exclusive: <T>(work: () => T) => Promise.resolve(work()),
      requestCycle: record('request cycle'),
    },
    services,
  );
  periodicWork.start();
  await clock.advance(ms);
  return calls;
}

test('a tick begins with leadership and ends with a request for a scheduling cycle', async () => {
  assert.deepEqual(await callsWithin(0), [
    'leadership',
    'progress',
    'scale out',
    'cluster clock',
    'expire cordons',
    'scale in',
    'close clients',
    'announce',
    'request cycle',
  ]);
});

test('a tick runs every 200 ms, and the machines are reviewed every second', async () => {
  const calls = await callsWithin(2000);
  const count = (name: string): number => calls.filter((call) => call === name).length;
  assert.equal(count('leadership'), 11);
  assert.equal(count('announce'), 11);
  assert.equal(count('scale in'), 3);
});
