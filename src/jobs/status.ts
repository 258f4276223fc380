/** Computes the status of an active job from its record, the shards led here, and the peers' last announcements. */
import type { JobId } from '../model/units.js';
import type { JobRecord } from './record.js';
import type { JobStatus } from './wire.js';

/** Task state of a shard led by this controller. */
interface ShardTasks {
  /** Per job, the finished tasks that are not in the job's record yet. */
  readonly jobs: { get(id: JobId): { readonly finished: { readonly size: number } } | undefined };
  /** Per job, its tasks that are allocated to machines. */
  readonly allocationsByJob: { get(id: JobId): Iterable<{ readonly phase: string }> | undefined };
}

/** The last announcement of a peer. */
interface PeerTasks {
  /** Number of running tasks per job. */
  readonly runningTasks: { get(id: JobId): number | undefined };
}

/** The sources from which the tasks of active jobs are counted. */
export interface TaskSources {
  readonly shards: { values(): Iterable<ShardTasks> };
  readonly peers: { values(): Iterable<PeerTasks> };
}

/** Returns the status of an active job. Peers' counts may be outdated, so the sum is limited to the job's tasks. */
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
