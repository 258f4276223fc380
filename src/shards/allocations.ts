/** Binds tasks to machines and takes them off, with all sums that follow from it. */
import { Priority } from '../jobs/spec.js';
import { addTo, clear } from '../model/resources.js';
import type { Allocation, Machine } from './machine.js';
import type { Shard } from './shard.js';
import { isAssignedTo } from './sync.js';

/** The part's own count of a task that is on a machine, or may be. */
export function allocate(shard: Shard, machine: Machine, allocation: Allocation): void {
  addToMachine(shard, machine, allocation);
  shard.allocations.set(allocation.id, allocation);
  const job = shard.jobs.get(allocation.job);
  job?.waiting.remove(allocation.index);
  job?.unaccounted.remove(allocation.index);
}

/** Room and limits: a task that is seen on a machine counts, also when it should not be there. */
export function addToMachine(shard: Shard, machine: Machine, allocation: Allocation): void {
  const before = machine.allocations.get(allocation.id);
  if (before) removeFromMachine(shard, machine, before);
  machine.allocations.set(allocation.id, allocation);
  if (allocation.stop) shard.stopping.add(allocation);
  updateTotals(shard, machine, allocation, 1);
  const allocationsOfJob = shard.allocationsByJob.get(allocation.job) ?? new Set();
  shard.allocationsByJob.set(allocation.job, allocationsOfJob.add(allocation));
}

function removeFromMachine(shard: Shard, machine: Machine, allocation: Allocation): void {
  if (machine.allocations.get(allocation.id) !== allocation) return;
  machine.allocations.delete(allocation.id);
  shard.stopping.delete(allocation);
  updateTotals(shard, machine, allocation, -1);
  const allocationsOfJob = shard.allocationsByJob.get(allocation.job);
  allocationsOfJob?.delete(allocation);
  if (allocationsOfJob?.size === 0) shard.allocationsByJob.delete(allocation.job);
}

function updateTotals(shard: Shard, machine: Machine, { spec }: Allocation, sign: 1 | -1): void {
  shard.totals.countIfUnaccounted(machine, -1);
  if (!spec) machine.unknownSizeCount += sign;
  else {
    const sums = spec.priority === Priority.critical ? [machine.used] : [machine.used, machine.preemptible];
    for (const sum of sums) addTo(sum, spec, sign);
    if (machine.allocations.size === 0) {
      clear(machine.used);
      clear(machine.preemptible);
    }
    shard.totals.countTask(spec, sign);
    const wanted = (machine.requiredImages.get(spec.image) ?? 0) + sign;
    if (wanted > 0) machine.requiredImages.set(spec.image, wanted);
    else machine.requiredImages.delete(spec.image);
  }
  shard.totals.countIfUnaccounted(machine, 1);
  shard.totals.updateFreeCapacity(machine, shard.types);
}

/**
 * A late copy of a report may have told us of a machine that the task has left, while another machine was told to stop
 * it: until it is gone from there as well, it must not start again.
 */
function allocationElsewhere(shard: Shard, removed: Allocation): Allocation | null {
  for (const allocation of shard.allocationsByJob.get(removed.job) ?? [])
    if (allocation.id === removed.id) return allocation;
  return null;
}

/** The task is certainly not on that machine any more. */
export function release(shard: Shard, machine: Machine, allocation: Allocation): void {
  removeFromMachine(shard, machine, allocation);
  if (shard.allocations.get(allocation.id) !== allocation) return;
  shard.allocations.delete(allocation.id);
  const job = shard.jobs.get(allocation.job);
  const assignedHere = job !== undefined && isAssignedTo(shard, allocation.job, allocation.index);
  const unfinished =
    assignedHere && !job.record.done.has(allocation.index) && !job.finished.has(allocation.index);
  const other = allocationElsewhere(shard, allocation);
  if (other) {
    shard.allocations.set(other.id, other);
    if (unfinished) withdrawStop(shard, other);
    return;
  }
  if (!unfinished) return;
  if (job.gangHistory) job.gangHistory.mayHaveStarted = true;
  // Found on a machine after our claim and gone from there: a late copy of a report may have told us of it, and
  // the task may be on a machine that we have not heard of yet.
  if (!shard.reconciled && !shard.issuedAttempt(allocation.attempt)) {
    job.unaccounted.add(allocation.index);
    shard.unreconciled.changed = true;
    return;
  }
  job.waiting.add(allocation.index);
  shard.queue.add(job);
}

/** Stopped because a late copy of a report had told us of the task on another machine: this is the one that is real. */
function withdrawStop(shard: Shard, allocation: Allocation): void {
  allocation.stop = null;
  shard.stopping.delete(allocation);
}
