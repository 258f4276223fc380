/**
 * Checks the assumptions of the plan again when a task is started. Cheap: it examines only the task, its job
 * and its machine.
 */
import type { Invariant } from '../logging/invariant-monitor.js';
import { taskId, type Revision, type TaskIndex } from '../model/units.js';
import { isAssignedTo, type Shard } from '../shards/model.js';
import type { TaskStart } from './cycle.js';

/**
 * Returns the invariant that the start would violate; null if there is none.
 * @param storedVersion version of the shard's record in the watch cache
 */
export function violatedByStart(
  shard: Shard,
  { job, index, machine }: Pick<TaskStart, 'job' | 'index' | 'machine'>,
  storedVersion: Revision,
): Invariant | null {
  if (shard.allocations.has(taskId(job.id, index as TaskIndex))) return 'task is already allocated';
  if (job.record.done.has(index) || job.finished.has(index)) return 'task has finished';
  if (!isAssignedTo(shard, job.id, index)) return 'task is not assigned to the shard';
  if (job.unconfirmed.has(index)) return 'job record is not confirmed';
  if (!machine.confirmed) return 'machine record is not confirmed';
  if (storedVersion !== shard.version) return 'shard is led by another controller';
  return null;
}
