/**
 * A shard must not start tasks on a machine that may already belong to another shard.
 *
 * Guards against: the response to a machine transfer is lost, and the retry conflicts with the first attempt, which was
 * applied. The donor shard uncordoned the machine, and could start a task on it until its watch showed the record. When
 * the record arrived, the machine was removed together with its tasks, and the task was started a second time
 * elsewhere. See docs/incidents/2026-12-ran-twice-at-size.md ("Found beside it, not mended"); this test covers the
 * decision alone.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Core } from '../../src/core.js';
import { silentLog } from '../../src/logging/log.js';
import { MachineTransferService } from '../../src/overflow/machine-transfer.js';
import type { MachineRequest } from '../../src/peers/messages.js';
import { encodeMachineRecord, machineKey } from '../../src/shards/codec.js';
import type { Machine, Shard } from '../../src/shards/model.js';
import type { ReadResult } from '../../src/store/client.js';
import { addMachineTo, buildShard } from '../support/shard-builder.js';
import { flushPromises } from '../support/simulated-clock.js';

const NOW = 10_000;
const RECORD_VERSION = 30;

const REQUEST = {
  kind: 'machineRequest',
  requestingShard: 1,
  donorShard: 0,
  tasks: 1,
  cpus: 4,
  gpus: 0,
  memoryGb: 1,
  types: null,
  zone: 'east',
  spot: false,
} as unknown as MachineRequest;

/**
 * Requests the only machine of a shard led by this controller. The write ends in a conflict. The reads of the record
 * after it return `reads` in turn, then that the record is absent.
 */
async function transferWithLostResponse(
  reads: ReadResult[],
): Promise<{ machine: Machine; shard: Shard; applied: unknown[] }> {
  const shard = buildShard();
  shard.reconciled = true;
  const machine = addMachineTo(shard, 'm-0');
  machine.lastMessageAt = NOW as never;
  const applied: unknown[] = [];
  const core = {
    clock: { now: () => NOW },
    settings: { shards: [{ shard: 0 }, { shard: 1 }] },
    shards: new Map([[shard.id, shard]]),
    types: new Map([['small', { cpus: 4, gpus: 0, memoryGb: 16 }]]),
    heartbeatIntervalMs: 1500,
    log: silentLog(),
    mayCommand: () => true,
    leaderCondition: () => ({ key: 'c/parts/0', version: 10 }),
    storeCache: {
      version: () => 20,
      apply: (_key: string, value: unknown) => applied.push(value),
    },
    store: { get: () => Promise.resolve(reads.shift() ?? { kind: 'absent' }) },
    compareAndSwapUntilCertain: () => Promise.resolve({ kind: 'conflict', failed: [machineKey(machine.id)] }),
    exclusive: (work: () => unknown) => Promise.resolve(work()),
    sleep: () => Promise.resolve(),
  } as unknown as Core;
  new MachineTransferService(core).handleRequest(REQUEST);
  assert.equal(machine.draining, true);
  for (let round = 0; round < 10; round += 1) await flushPromises();
  return { machine, shard, applied };
}

const recordIn = (shard: number): ReadResult =>
  ({
    kind: 'found',
    entry: {
      key: machineKey('m-0' as never),
      version: RECORD_VERSION,
      value: encodeMachineRecord({
        shard: shard as never,
        address: '10.0.0.1:1' as never,
        type: 'small' as never,
        zone: 'east' as never,
        spot: false,
      }),
    },
  }) as unknown as ReadResult;

test('a machine stays cordoned if a transfer whose response was lost was applied', async () => {
  const { machine, applied } = await transferWithLostResponse([recordIn(1)]);
  assert.equal(machine.draining, true, 'the machine belongs to another shard');
  assert.equal(applied.length, 1, 'the record that was read is applied to the cache');
  const unreadable = await transferWithLostResponse([{ kind: 'failed' }, recordIn(1)]);
  assert.equal(unreadable.machine.draining, true, 'read again until the store answers');
  assert.equal((await transferWithLostResponse([])).machine.draining, true, 'the machine has been deleted');
});

test('a machine whose transfer was not applied accepts tasks again', async () => {
  const { machine, applied } = await transferWithLostResponse([recordIn(0)]);
  assert.equal(machine.draining, false);
  assert.equal(applied.length, 1);
});
