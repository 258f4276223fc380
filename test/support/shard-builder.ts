/** Builders for a shard with machines of one small type and for records and allocations of a job assigned to it. */
import { RangeSet, type Range } from '../../src/model/ranges.js';
import type { JobRecord } from '../../src/jobs/record.js';
import type { InstanceType } from '../../src/cloud/wire.js';
import {
  attempt,
  fencingToken,
  revision,
  shardId,
  steady,
  taskId,
  taskIndex,
  type Address,
  type InstanceTypeId,
  type JobId,
  type MachineId,
  type Revision,
  type ZoneId,
  NO_REVISION,
} from '../../src/model/units.js';
import { newMachine, Shard, type Allocation, type Machine } from '../../src/shards/model.js';
import { buildJobSpec } from './job-specs.js';

/** The fencing token of the leader of the shard that `buildShard` returns. */
const FENCING_TOKEN = fencingToken(7);
/** The revision at which the shard that `buildShard` returns was acquired. */
export const ACQUIRED_VERSION = revision(10);
/** An attempt that an earlier leader of the shard started. */
export const EARLIER_ATTEMPT = attempt(1);

const SMALL = 'small' as InstanceTypeId;
const TYPES: ReadonlyMap<InstanceTypeId, InstanceType> = new Map([
  [SMALL, { cpus: 4, gpus: 0, memoryGb: 16, cacheGb: 4 } as InstanceType],
]);

/** Returns a shard without machines and jobs, acquired at time 0. */
export const buildShard = (): Shard =>
  new Shard(shardId(0), FENCING_TOKEN, ACQUIRED_VERSION, steady(0), TYPES);

/** Adds a machine to the shard, by default in the zone `east`. */
export function addMachineTo(
  shard: Shard,
  id: string,
  options: { zone?: string; reconciled?: boolean; registeredVersion?: Revision } = {},
): Machine {
  const machine = newMachine({
    id: id as MachineId,
    address: '10.0.0.1:1' as Address,
    type: SMALL,
    zone: (options.zone ?? 'east') as ZoneId,
    spot: false,
    addedAt: steady(0),
    reconciled: options.reconciled ?? true,
    registeredVersion: options.registeredVersion ?? NO_REVISION,
  });
  shard.addMachine(machine);
  return machine;
}

/** Returns the record of the job `req-1` with the ranges of tasks that are assigned to the shard and that are done. */
export function buildJobRecord(options: {
  assigned: Range[];
  done?: Range[];
  zone?: string;
  specification?: Parameters<typeof buildJobSpec>[0];
}): JobRecord {
  const assignments = options.assigned.map(([from, to]) => ({
    from,
    to,
    shard: shardId(0),
    zone: (options.zone ?? null) as ZoneId | null,
  }));
  return {
    spec: buildJobSpec(options.specification),
    assignments,
    done: RangeSet.of(options.done ?? []),
  } as unknown as JobRecord;
}

/** Returns the allocation of a task of `req-1` that runs on the machine; does not add it to the shard. */
export function buildAllocation(shard: Shard, machine: Machine, index: number): Allocation {
  const job = 'req-1' as JobId;
  return {
    id: taskId(job, taskIndex(index)),
    job,
    index: taskIndex(index),
    attempt: shard.tokens.nextAttempt(),
    machine: machine.id,
    spec: buildJobSpec(),
    phase: 'running',
    allocatedAt: steady(0),
    runningSince: steady(0),
    waitingForGangSince: null,
    stop: null,
    launchInFlight: false,
    launchPending: false,
    unacknowledged: null,
    launchAnswerSequence: null,
  };
}
