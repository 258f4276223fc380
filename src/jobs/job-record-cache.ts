/**
 * The records of active jobs, decoded once per version from the changes of the watch cache, and the specifications of
 * jobs that ended recently. Relies on being told every change of a job record, in the order of the watch cache.
 */
import type { JobId } from '../model/units.js';
import { decodeRecord } from './codec.js';
import type { JobRecord } from './record.js';
import type { JobSpec } from './spec.js';

/** Ended jobs whose specifications are kept at least. */
const MIN_RECENTLY_ENDED = 500;

/**
 * What a change of a job's record means. `unreadable`: written by a version that this one does not understand; the job
 * has not ended, and its tasks go on.
 */
export type JobRecordUpdate =
  | { readonly kind: 'active'; readonly record: JobRecord }
  | { readonly kind: 'ended' }
  | { readonly kind: 'unreadable' };

/** Active jobs by id, and those that ended recently. */
export class JobRecordCache {
  private readonly active = new Map<JobId, JobRecord>();
  private readonly ended = new Map<JobId, JobSpec>();
  /** Jobs whose newest record cannot be read; `get` has an older one of them, or none. */
  private readonly unreadable = new Set<JobId>();

  get(id: JobId): JobRecord | undefined {
    return this.active.get(id);
  }

  has(id: JobId): boolean {
    return this.active.has(id);
  }

  /** The store has a newer record of the job than `get`: nothing may be written that rests on the older one. */
  isOutdated(id: JobId): boolean {
    return this.unreadable.has(id);
  }

  /** The records of all active jobs, in the order in which the jobs became known. */
  values(): MapIterator<JobRecord> {
    return this.active.values();
  }

  /** Specifications of jobs that have ended while their tasks may still be on machines. */
  get recentlyEnded(): ReadonlyMap<JobId, JobSpec> {
    return this.ended;
  }

  /** Takes in the stored value of a job's record; `undefined` when the record was deleted. */
  update(id: JobId, value: unknown): JobRecordUpdate {
    if (value === undefined) {
      this.end(id);
      return { kind: 'ended' };
    }
    const record = decodeRecord(value);
    if (!record) {
      this.unreadable.add(id);
      return { kind: 'unreadable' };
    }
    this.unreadable.delete(id);
    this.active.set(id, record);
    return { kind: 'active', record };
  }

  private end(id: JobId): void {
    const last = this.active.get(id);
    this.active.delete(id);
    this.unreadable.delete(id);
    if (last) this.ended.set(id, last.spec);
    // As many jobs may end together as are active, and their tasks are on machines for a while.
    if (this.ended.size > Math.max(MIN_RECENTLY_ENDED, this.active.size))
      this.ended.delete(this.ended.keys().next().value as JobId);
  }
}
