/**
 * Caches the records of active jobs, decoded once per version, and the specifications of recently ended jobs. Must be
 * updated with every change of a job record, in the order in which the watch cache applies them.
 */
import type { JobId } from '../model/units.js';
import { decodeRecord } from './codec.js';
import type { JobRecord } from './record.js';
import { releasesZones, type JobSpec } from './spec.js';

/** Minimum number of ended jobs whose specifications are kept. */
const MIN_RECENTLY_ENDED = 500;

/**
 * The effect of a change of a job's record. `unreadable`: the record was written in a format that this version does not
 * understand; the job has not ended, and its tasks keep running.
 */
export type JobRecordUpdate =
  | { readonly kind: 'active'; readonly record: JobRecord }
  | { readonly kind: 'ended' }
  | { readonly kind: 'unreadable' };

/** Active and recently ended jobs by id. */
export class JobRecordCache {
  private readonly active = new Map<JobId, JobRecord>();
  private readonly ended = new Map<JobId, JobSpec>();
  /** Active jobs whose finished tasks make room in a zone for other tasks of the job. */
  private readonly releasingZones = new Set<JobId>();
  /** Jobs whose newest record cannot be read; `get` returns an older record of the job, or `undefined`. */
  private readonly unreadable = new Set<JobId>();

  get(id: JobId): JobRecord | undefined {
    return this.active.get(id);
  }

  has(id: JobId): boolean {
    return this.active.has(id);
  }

  /** Whether the store has a newer record than `get` returns; then nothing may be written based on the older record. */
  isOutdated(id: JobId): boolean {
    return this.unreadable.has(id);
  }

  /** Returns the records of all active jobs, in the order in which the jobs were first seen. */
  values(): MapIterator<JobRecord> {
    return this.active.values();
  }

  /** Returns the active jobs whose finished tasks make room in a zone for other tasks of the job. */
  get jobsReleasingZones(): Iterable<JobId> {
    return this.releasingZones;
  }

  /** Specifications of ended jobs whose tasks may still be on machines. */
  get recentlyEnded(): ReadonlyMap<JobId, JobSpec> {
    return this.ended;
  }

  /** Applies a change of a job's record; `value` is the stored value, `undefined` if the record was deleted. */
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
    if (releasesZones(record.spec)) this.releasingZones.add(id);
    return { kind: 'active', record };
  }

  private end(id: JobId): void {
    const last = this.active.get(id);
    this.active.delete(id);
    this.releasingZones.delete(id);
    this.unreadable.delete(id);
    if (last) this.ended.set(id, last.spec);
    // All active jobs may end at about the same time, and their tasks remain on machines for a while.
    if (this.ended.size > Math.max(MIN_RECENTLY_ENDED, this.active.size))
      this.ended.delete(this.ended.keys().next().value as JobId);
  }
}
