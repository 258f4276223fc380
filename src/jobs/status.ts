/** How far an active job is, counted from its record, the shards led here, and what peers announced last. */
import type { JobId } from '../model/units.js';
import type { JobRecord } from './record.js';
import type { JobStatus } from './wire.js';

/** The tasks that one shard of this controller knows of. */
interface ShardTasks {
  /** By job: tasks that are done and not yet in the job's record. */
  readonly jobs: { get(id: JobId): { readonly finished: { readonly size: number } } | undefined };
  /** By job: its tasks that are allocated to machines. */
  readonly allocationsByJob: { get(id: JobId): Iterable<{ readonly phase: string }> | undefined };
}

/** What one peer announced last. */
interface PeerTasks {
  /** Running tasks by job. */
  readonly runningTasks: { get(id: JobId): number | undefined };
}

/** Where the tasks of active jobs are counted. */
export interface TaskSources {
  readonly shards: { values(): Iterable<ShardTasks> };
  readonly peers: { values(): Iterable<PeerTasks> };
}

/** The status of an active job. Numbers from peers are hints: the sum never exceeds the job's tasks. */
export function activeStatus(id: JobId, record: JobRecord, sources: TaskSources): JobStatus {
  let running = 0;
  let done = record.done.size;
  for (const shard of sources.shards.values()) {
    done += shard.jobs.get(id)?.finished.size ?? 0;
    for (const allocation of shard.allocationsByJob.get(id) ?? [])
      if (allocation.phase === 'running') running += 1;
  }
  for (const peer of sources.peers.values()) running += peer.runningTasks.get(id) ?? 0;
  running = Math.min(running, record.spec.tasks - done);
  return { id, state: running > 0 ? 'running' : 'pending', done, running: Math.max(0, running) };
}
