/** Binds tasks to machines and takes them off, with all sums that follow from it. */
import { Priority } from '../jobs/spec.js';
import { addTo, clear } from '../model/resources.js';
import type { Binding, Machine } from './machine.js';
import type { Part } from './part.js';
import { isOurs } from './sync.js';

/** The part's own count of a task that is on a machine, or may be. */
export function bind(part: Part, machine: Machine, binding: Binding): void {
  attach(part, machine, binding);
  part.bound.set(binding.id, binding);
  const job = part.jobs.get(binding.job);
  job?.waiting.remove(binding.index);
  job?.frozen.remove(binding.index);
}

/** Room and limits: a task that is seen on a machine counts, also when it should not be there. */
export function attach(part: Part, machine: Machine, binding: Binding): void {
  const before = machine.bindings.get(binding.id);
  if (before) detach(part, machine, before);
  machine.bindings.set(binding.id, binding);
  if (binding.stop) part.stopping.add(binding);
  tally(part, machine, binding, 1);
  const same = part.boundOf.get(binding.job) ?? new Set();
  part.boundOf.set(binding.job, same.add(binding));
}

function detach(part: Part, machine: Machine, binding: Binding): void {
  if (machine.bindings.get(binding.id) !== binding) return;
  machine.bindings.delete(binding.id);
  part.stopping.delete(binding);
  tally(part, machine, binding, -1);
  const same = part.boundOf.get(binding.job);
  same?.delete(binding);
  if (same?.size === 0) part.boundOf.delete(binding.job);
}

function tally(part: Part, machine: Machine, { spec }: Binding, sign: 1 | -1): void {
  part.sums.count(machine, -1);
  if (!spec) machine.unknownSize += sign;
  else {
    const sums = spec.priority === Priority.critical ? [machine.used] : [machine.used, machine.lesser];
    for (const sum of sums) addTo(sum, spec, sign);
    if (machine.bindings.size === 0) {
      clear(machine.used);
      clear(machine.lesser);
    }
    part.sums.use(spec, sign);
    const wanted = (machine.wanted.get(spec.image) ?? 0) + sign;
    if (wanted > 0) machine.wanted.set(spec.image, wanted);
    else machine.wanted.delete(spec.image);
  }
  part.sums.count(machine, 1);
  part.sums.level(machine, part.types);
}

/**
 * A late copy of a report may have told us of a machine that the task has left, while another machine was told to stop
 * it: until it is gone from there as well, it must not start again.
 */
function elsewhere(part: Part, gone: Binding): Binding | null {
  for (const b of part.boundOf.get(gone.job) ?? []) if (b.id === gone.id) return b;
  return null;
}

/** The task is certainly not on that machine any more. */
export function unbind(part: Part, machine: Machine, binding: Binding): void {
  detach(part, machine, binding);
  if (part.bound.get(binding.id) !== binding) return;
  part.bound.delete(binding.id);
  const job = part.jobs.get(binding.job);
  const ours = job !== undefined && isOurs(part, binding.job, binding.index);
  const open = ours && !job.record.done.has(binding.index) && !job.finished.has(binding.index);
  const other = elsewhere(part, binding);
  if (other) {
    part.bound.set(other.id, other);
    if (open) keepRunning(part, other);
    return;
  }
  if (!open) return;
  if (job.gang) job.gang.mayHaveStarted = true;
  // Found on a machine after our claim and gone from there: a late copy of a report may have told us of it, and
  // the task may be on a machine that we have not heard of yet.
  if (!part.accounted && !part.issued(binding.attempt)) {
    job.frozen.add(binding.index);
    part.unsettled.changed = true;
    return;
  }
  job.waiting.add(binding.index);
  part.queue.add(job);
}

/** Stopped because a late copy of a report had told us of the task on another machine: this is the one that is real. */
function keepRunning(part: Part, binding: Binding): void {
  binding.stop = null;
  part.stopping.delete(binding);
}
