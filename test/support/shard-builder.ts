/** A shard with machines of one small type, and records of jobs that are assigned to it; each test says what differs. */
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

/** The leader of `buildShard` has this token; attempts of an earlier leader are below `EARLIER_ATTEMPT`. */
const FENCING_TOKEN = fencingToken(7);
/** The revision at which the shard of `buildShard` was acquired. */
export const ACQUIRED_VERSION = revision(10);
/** An attempt that an earlier leader of the shard started. */
export const EARLIER_ATTEMPT = attempt(1);

const SMALL = 'small' as InstanceTypeId;
const TYPES: ReadonlyMap<InstanceTypeId, InstanceType> = new Map([
  [SMALL, { cpus: 4, gpus: 0, memoryGb: 16, cacheGb: 4 } as InstanceType],
]);

/** A shard without machines and jobs, acquired at time 0. */
export const buildShard = (): Shard =>
  new Shard(shardId(0), FENCING_TOKEN, ACQUIRED_VERSION, steady(0), TYPES);

/** A machine in the zone `east`, added to the shard. */
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

/** The record of the job `req-1` with these tasks assigned to the shard, and these done. */
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

/** An allocation of a task of `req-1` that runs on the machine. */
export function buildAllocation(shard: Shard, machine: Machine, index: number): Allocation {
  const job = 'req-1' as JobId;
  return {
    id: taskId(job, taskIndex(index)),
    job,
    index: taskIndex(index),
    attempt: shard.nextAttempt(),
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
    answeredSequence: null,
  };
}
