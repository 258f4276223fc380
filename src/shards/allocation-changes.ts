/**
 * Adds allocations to machines and removes them. All changes of allocations go through this module, which keeps the
 * totals of the machine and of the shard, and the set of waiting tasks, consistent with them.
 */
import { Priority, type JobSpec } from '../jobs/spec.js';
import { addTo, resetToZero } from '../model/resources.js';
import type { Allocation } from './allocation.js';
import { withdrawFromQueue, type ShardJob } from './job.js';
import type { Machine } from './machine.js';
import type { Shard } from './shard.js';
import { isAssignedTo } from './sync.js';

/** Allocates a task of this shard to the machine: it is or may be there from now on, and no longer waits. */
export function allocate(shard: Shard, machine: Machine, allocation: Allocation): void {
  addToMachine(shard, machine, allocation);
  shard.allocations.set(allocation.id, allocation);
  const job = shard.jobs.get(allocation.job);
  if (job) withdrawFromQueue(job, allocation.index, allocation.index + 1);
}

/**
 * Adds an allocation to the machine and to the usage of its job's team; replaces an allocation of the same task there.
 * Called directly for a task that is seen on a machine and should not be there: it uses resources until it is gone.
 */
export function addToMachine(shard: Shard, machine: Machine, allocation: Allocation): void {
  const previous = machine.allocations.get(allocation.id);
  if (previous) removeFromMachine(shard, machine, previous);
  machine.allocations.set(allocation.id, allocation);
  if (allocation.stop) shard.stopping.add(allocation);
  updateTotals(shard, machine, allocation, 1);
  const siblings = shard.allocationsByJob.get(allocation.job) ?? new Set();
  shard.allocationsByJob.set(allocation.job, siblings.add(allocation));
}

function removeFromMachine(shard: Shard, machine: Machine, allocation: Allocation): void {
  if (machine.allocations.get(allocation.id) !== allocation) return;
  machine.allocations.delete(allocation.id);
  shard.stopping.delete(allocation);
  updateTotals(shard, machine, allocation, -1);
  const siblings = shard.allocationsByJob.get(allocation.job);
  siblings?.delete(allocation);
  if (siblings?.size === 0) shard.allocationsByJob.delete(allocation.job);
}

/** Updates the totals of the machine and of the shard for an added (1) or removed (-1) allocation. */
function updateTotals(shard: Shard, machine: Machine, { spec }: Allocation, sign: 1 | -1): void {
  shard.totals.countIfUsageUnknown(machine, -1);
  if (spec) {
    updateMachineTotals(machine, spec, sign);
    shard.totals.countTask(spec, sign);
  } else machine.unknownSizeTaskCount += sign;
  shard.totals.countIfUsageUnknown(machine, 1);
  shard.totals.updateFreeCapacity(machine, shard.types);
}

function updateMachineTotals(machine: Machine, spec: JobSpec, sign: 1 | -1): void {
  addTo(machine.used, spec, sign);
  if (spec.priority !== Priority.critical) addTo(machine.preemptible, spec, sign);
  if (machine.allocations.size === 0) {
    resetToZero(machine.used);
    resetToZero(machine.preemptible);
  }
  const wanted = (machine.requiredImages.get(spec.image) ?? 0) + sign;
  if (wanted > 0) machine.requiredImages.set(spec.image, wanted);
  else machine.requiredImages.delete(spec.image);
}

/**
 * Finds another allocation of the same task. A delayed heartbeat may have shown the task on a machine that it had
 * left, whereupon the machine that runs it was told to stop it: it must not be started again before it is gone from
 * there too.
 */
function allocationElsewhere(shard: Shard, removed: Allocation): Allocation | null {
  for (const allocation of shard.allocationsByJob.get(removed.job) ?? [])
    if (allocation.id === removed.id) return allocation;
  return null;
}

/** Removes a task that is certainly no longer on the machine; it waits again unless finished or possibly elsewhere. */
export function release(shard: Shard, machine: Machine, allocation: Allocation): void {
  removeFromMachine(shard, machine, allocation);
  if (shard.allocations.get(allocation.id) !== allocation) return;
  shard.allocations.delete(allocation.id);
  const unfinishedJob = unfinishedJobOf(shard, allocation);
  const other = allocationElsewhere(shard, allocation);
  if (other) {
    shard.allocations.set(other.id, other);
    if (unfinishedJob) withdrawStop(shard, other);
  } else if (unfinishedJob) requeue(shard, unfinishedJob, allocation);
}

/** Returns the job of the task if the task is assigned to this shard and has not finished; otherwise null. */
function unfinishedJobOf(shard: Shard, { job: id, index }: Allocation): ShardJob | null {
  const job = shard.jobs.get(id);
  if (!job || !isAssignedTo(shard, id, index)) return null;
  return job.record.done.has(index) || job.finished.has(index) ? null : job;
}

/**
 * Lets the task be started again. A task that an earlier leader started becomes unaccounted first if the shard is not
 * reconciled: a delayed heartbeat may have shown it on a machine that it had left, and it may run on a machine that
 * this leader has not heard from.
 */
function requeue(shard: Shard, job: ShardJob, { index, attempt }: Allocation): void {
  if (job.gangHistory) job.gangHistory.mayHaveStarted = true;
  if (!shard.reconciled && !shard.tokens.issuedAttempt(attempt)) {
    job.unaccounted.add(index);
    shard.unreconciled.requestRecheck();
    return;
  }
  job.waiting.add(index);
  shard.queue.add(job);
}

/** Whether the launch has not been sent in any form, so that the task cannot be on the machine. */
const isUnsent = (allocation: Allocation): boolean =>
  allocation.phase === 'ordered' &&
  allocation.launchPending &&
  !allocation.launchInFlight &&
  !allocation.unacknowledged &&
  allocation.launchAnswerSequence === null;

/** Ends an allocation: releases the task if its launch has not been sent, and otherwise requests it to stop. */
export function stopOrRelease(shard: Shard, machine: Machine, allocation: Allocation, graceS: number): void {
  if (isUnsent(allocation)) release(shard, machine, allocation);
  else requestStop(shard, machine, allocation, graceS);
}

/** Requests a task to stop within `graceS` seconds, by a direct command and by answers to heartbeats. */
function requestStop(shard: Shard, machine: Machine, allocation: Allocation, graceS: number): void {
  allocation.stop = { grace: graceS, direct: 'due' };
  shard.stopping.add(allocation);
  shard.machinesWithPendingCommands.add(machine);
}

/** Withdraws a stop that was requested because a delayed heartbeat had shown the task on another machine. */
function withdrawStop(shard: Shard, allocation: Allocation): void {
  allocation.stop = null;
  shard.stopping.delete(allocation);
}
