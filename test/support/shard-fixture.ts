/** A shard with one machine and a job of two tasks. Heartbeats are written as text, and states are returned as text. */
import type { InstanceType } from '../../src/cloud/wire.js';
import type { JobRecord } from '../../src/jobs/record.js';
import type { JobSpec } from '../../src/jobs/spec.js';
import { silentLog } from '../../src/logging/log.js';
import type { ExitCause } from '../../src/model/exit-cause.js';
import { RangeSet } from '../../src/model/ranges.js';
import {
  attempt,
  fencingToken,
  millis,
  revision,
  seconds,
  shardId,
  steady,
  taskId,
  taskIndex,
  type Address,
  type AgentEpoch,
  type InstanceTypeId,
  type JobId,
  type MachineId,
  type Sequence,
  type ZoneId,
  NO_REVISION,
} from '../../src/model/units.js';
import { allocate, newMachine, Shard, type Allocation, type Machine } from '../../src/shards/model.js';
import { requeueAccountedTasks } from '../../src/shards/unaccounted-tasks.js';
import { commandsInReply } from '../../src/workers/commands.js';
import { reconcileHeartbeat } from '../../src/workers/reconciliation.js';
import type { ResultRecords, StatusChannel } from '../../src/workers/release-rules.js';
import type { ActiveTaskStatus, Heartbeat, TaskStatus } from '../../src/workers/wire.js';
import { buildJobSpec } from './job-specs.js';
import { syncConfirmedJob } from './confirmed-job.js';

const ZONE = 'east' as ZoneId;
const TYPE: InstanceType = {
  name: 't' as InstanceTypeId,
  cpus: 16,
  gpus: 0,
  memoryGb: 64,
  cacheGb: 100,
  fetchGbPerS: 1,
  price: 1,
  spotPrice: 1,
  bootS: seconds(1),
  zones: [ZONE],
};
const SHARD = shardId(0);
export const SHARD_FENCING_TOKEN = fencingToken(7);

/** A job of two tasks of two CPUs each, which are assigned to the shard. */
export const TWO_TASK_SPEC: JobSpec = buildJobSpec({ tasks: 2 });
const RECORD: JobRecord = {
  spec: TWO_TASK_SPEC,
  homeShard: SHARD,
  acceptedRevision: revision(1),
  acceptedAt: null,
  assignments: [{ from: 0, to: 2, shard: SHARD, zone: null }],
  done: RangeSet.empty(),
};

/**
 * Overrides for a heartbeat; the defaults are the first agent epoch, the next sequence number and the shard's fencing
 * token.
 */
export interface HeartbeatChanges {
  readonly agentEpoch?: number;
  readonly sequence?: number;
  readonly fencingToken?: number;
}

function parseTask(text: string): TaskStatus {
  const [index, attemptNumber, state, cause] = text.split(':');
  const identity = {
    job: TWO_TASK_SPEC.id,
    index: taskIndex(Number(index)),
    attempt: attempt(Number(attemptNumber)),
  };
  if (state === 'exited') return { ...identity, state, cause: cause as ExitCause };
  return { ...identity, state: state as ActiveTaskStatus['state'] };
}

export class ShardFixture {
  readonly shard = new Shard(
    SHARD,
    SHARD_FENCING_TOKEN,
    revision(1),
    steady(0),
    new Map([[TYPE.name, TYPE]]),
  );
  readonly machine: Machine;
  /** Jobs whose records in the store cannot be read. */
  readonly unreadableJobs = new Set<JobId>();
  /** The time at which heartbeats are received. */
  now = steady(1000);
  private sequence = 0;
  /** Reads results from the job records; all tasks of jobs that the shard does not have count as recorded. */
  private readonly records: ResultRecords = {
    isResultRecorded: (job, index) => this.shard.jobs.get(job)?.record.done.has(index) ?? true,
  };

  /** After a failover, no heartbeat of the machine has arrived yet and its tasks are unaccounted for. */
  constructor(afterFailover = false) {
    this.machine = this.addMachine('m-0', '10.0.0.9:1', { reconciled: !afterFailover });
    syncConfirmedJob(this.shard, RECORD, revision(2), steady(0), afterFailover);
    if (afterFailover) return;
    requeueAccountedTasks(this.shard);
    // Tasks are only started on machines that have sent a heartbeat.
    this.receiveHeartbeat('heartbeat', '');
  }

  addMachine(id: string, address: string, options: { reconciled: boolean; spot?: boolean }): Machine {
    const machine = newMachine({
      id: id as MachineId,
      address: address as Address,
      type: TYPE.name,
      zone: ZONE,
      spot: options.spot ?? false,
      addedAt: steady(0),
      reconciled: options.reconciled,
      registeredVersion: NO_REVISION,
    });
    this.shard.addMachine(machine);
    return machine;
  }

  /** Allocates the job's first task, by default as attempt 5, to the machine. */
  addAllocation(changes: Partial<Allocation> = {}): Allocation {
    const allocation: Allocation = {
      id: taskId(TWO_TASK_SPEC.id, taskIndex(0)),
      job: TWO_TASK_SPEC.id,
      index: taskIndex(0),
      attempt: attempt(5),
      machine: this.machine.id,
      spec: TWO_TASK_SPEC,
      phase: 'ordered',
      allocatedAt: steady(0),
      runningSince: null,
      waitingForGangSince: null,
      stop: null,
      launchInFlight: false,
      launchPending: false,
      unacknowledged: null,
      launchAnswerSequence: null,
      ...changes,
    };
    allocate(this.shard, this.machine, allocation);
    return allocation;
  }

  /** Returns the machine's next heartbeat. Tasks are written as `index:attempt:state[:cause]`, separated by spaces. */
  nextHeartbeat(tasks: string, changes: HeartbeatChanges = {}, machine = this.machine): Heartbeat {
    this.sequence += 1;
    return {
      machine: machine.id,
      address: machine.address,
      type: machine.type,
      zone: machine.zone,
      spot: machine.spot,
      agentEpoch: (changes.agentEpoch ?? 1) as AgentEpoch,
      sequence: (changes.sequence ?? this.sequence) as Sequence,
      fencingToken: fencingToken(changes.fencingToken ?? SHARD_FENCING_TOKEN),
      interruptionNoticeS: null,
      tasks: tasks.split(' ').filter(Boolean).map(parseTask),
    };
  }

  /** Reconciles the machine's next heartbeat; returns whether it was applied, and the resulting state. */
  receiveHeartbeat(
    channel: StatusChannel,
    tasks: string,
    changes: HeartbeatChanges = {},
    machine = this.machine,
  ): string {
    const heartbeat = this.nextHeartbeat(tasks, changes, machine);
    const applied = reconcileHeartbeat(this.shard, machine, heartbeat, channel, {
      now: this.now,
      endedJobSpec: () => null,
      isRecordUnreadable: (job) => this.unreadableJobs.has(job),
      onTaskDone: () => undefined,
      onUnexpectedTask: () => undefined,
      heartbeatTimeout: millis(1e9),
      log: silentLog(),
    });
    return `${applied ? 'applied' : 'outdated'}; ${this.describeState()}`;
  }

  describeState(): string {
    const job = this.shard.jobs.get(TWO_TASK_SPEC.id);
    const allocated = [...this.shard.allocations.values()]
      .map((allocation) => `${allocation.index}@${allocation.attempt}`)
      .join(',');
    return `allocated ${allocated || '-'} waiting ${[...(job?.waiting ?? [])].join(',') || '-'}`;
  }

  /** Returns the commands in the answer to the machine's last heartbeat as text. */
  pendingCommands(machine = this.machine): string {
    return commandsInReply(this.shard, machine, this.records)
      .map((command) => `${command.kind} ${command.index}@${command.attempt}`)
      .join(', ');
  }
}
