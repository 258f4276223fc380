/**
 * Puts allocations on machines and takes them off, the only way to do so: the totals of the machine and of the shard, and
 * the task's place among those that wait, change with them.
 */
import { Priority, type JobSpec } from '../jobs/spec.js';
import { addTo, clear } from '../model/resources.js';
import type { Allocation } from './allocation.js';
import { withdrawFromQueue, type ShardJob } from './job.js';
import type { Machine } from './machine.js';
import type { Shard } from './shard.js';
import { isAssignedTo } from './sync.js';

/** The task of this shard is on the machine, or may be from now on: it does not wait any more. */
export function allocate(shard: Shard, machine: Machine, allocation: Allocation): void {
  addToMachine(shard, machine, allocation);
  shard.allocations.set(allocation.id, allocation);
  const job = shard.jobs.get(allocation.job);
  if (job) withdrawFromQueue(job, allocation.index, allocation.index + 1);
}

/**
 * Counts the task on the machine and for its team's quota, in place of an earlier allocation of it there. Alone, for a
 * task that is seen on a machine and should not be: it takes its resources until it is gone.
 */
export function addToMachine(shard: Shard, machine: Machine, allocation: Allocation): void {
  const before = machine.allocations.get(allocation.id);
  if (before) removeFromMachine(shard, machine, before);
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

/** Totals of the machine and of the shard, for one allocation more (1) or less (-1). */
function updateTotals(shard: Shard, machine: Machine, { spec }: Allocation, sign: 1 | -1): void {
  shard.totals.countIfUnaccounted(machine, -1);
  if (spec) {
    updateMachineTotals(machine, spec, sign);
    shard.totals.countTask(spec, sign);
  } else machine.unknownSizeCount += sign;
  shard.totals.countIfUnaccounted(machine, 1);
  shard.totals.updateFreeCapacity(machine, shard.types);
}

function updateMachineTotals(machine: Machine, spec: JobSpec, sign: 1 | -1): void {
  addTo(machine.used, spec, sign);
  if (spec.priority !== Priority.critical) addTo(machine.preemptible, spec, sign);
  if (machine.allocations.size === 0) {
    clear(machine.used);
    clear(machine.preemptible);
  }
  const wanted = (machine.requiredImages.get(spec.image) ?? 0) + sign;
  if (wanted > 0) machine.requiredImages.set(spec.image, wanted);
  else machine.requiredImages.delete(spec.image);
}

/**
 * Another allocation of the same task. A heartbeat that was delayed may have shown the task on a machine that it has
 * left, while the machine that it runs on was told to stop it: until it is gone from there too, it must not start again.
 */
function allocationElsewhere(shard: Shard, removed: Allocation): Allocation | null {
  for (const allocation of shard.allocationsByJob.get(removed.job) ?? [])
    if (allocation.id === removed.id) return allocation;
  return null;
}

/** The task is certainly not on that machine any more: it waits again, unless it has finished or may be elsewhere. */
export function release(shard: Shard, machine: Machine, allocation: Allocation): void {
  removeFromMachine(shard, machine, allocation);
  if (shard.allocations.get(allocation.id) !== allocation) return;
  shard.allocations.delete(allocation.id);
  const unfinishedJob = jobStillRequiring(shard, allocation);
  const other = allocationElsewhere(shard, allocation);
  if (other) {
    shard.allocations.set(other.id, other);
    if (unfinishedJob) withdrawStop(shard, other);
  } else if (unfinishedJob) requeue(shard, unfinishedJob, allocation);
}

/** The job of the task if the task is assigned to this shard and has not finished. */
function jobStillRequiring(shard: Shard, { job: id, index }: Allocation): ShardJob | null {
  const job = shard.jobs.get(id);
  if (!job || !isAssignedTo(shard, id, index)) return null;
  return job.record.done.has(index) || job.finished.has(index) ? null : job;
}

/**
 * Lets the task be started again. Not at once if it was started by an earlier leader and the shard is not reconciled: a
 * delayed heartbeat may have shown it on a machine that it has left, and it may run on one that has not been heard of.
 */
function requeue(shard: Shard, job: ShardJob, { index, attempt }: Allocation): void {
  if (job.gangHistory) job.gangHistory.mayHaveStarted = true;
  if (!shard.reconciled && !shard.issuedAttempt(attempt)) {
    job.unaccounted.add(index);
    shard.unreconciled.requestRecheck();
    return;
  }
  job.waiting.add(index);
  shard.queue.add(job);
}

/** The launch has not been sent in any form, so that no machine can hold the task. */
const isUnsent = (allocation: Allocation): boolean =>
  allocation.phase === 'ordered' &&
  allocation.launchPending &&
  !allocation.launchInFlight &&
  !allocation.unacknowledged &&
  allocation.answeredSequence === null;

/** The task is not to run on: it is released if nothing of it has been sent, and otherwise told to stop. */
export function stopOrRelease(shard: Shard, machine: Machine, allocation: Allocation, graceS: number): void {
  if (isUnsent(allocation)) release(shard, machine, allocation);
  else requestStop(shard, machine, allocation, graceS);
}

/** The task is to stop, within so many seconds: its machine is told directly, and by the answers to its heartbeats. */
function requestStop(shard: Shard, machine: Machine, allocation: Allocation, graceS: number): void {
  allocation.stop = { grace: graceS, direct: 'due' };
  shard.stopping.add(allocation);
  shard.machinesWithPendingCommands.add(machine);
}

/** The allocation was stopped since a delayed heartbeat showed the task elsewhere; the task is here after all. */
function withdrawStop(shard: Shard, allocation: Allocation): void {
  allocation.stop = null;
  shard.stopping.delete(allocation);
}
