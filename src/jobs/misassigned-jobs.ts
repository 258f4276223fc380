/** Follows which active jobs have assignments that make no sense, and says so once for each. */
import type { Log } from '../logging/log.js';
import type { JobId } from '../model/units.js';
import { assignmentProblem, type KnownPlaces } from './assignment-check.js';
import type { JobRecord } from './record.js';

/** Active jobs of which no task may be moved. */
export class MisassignedJobs {
  private readonly misassigned = new Set<JobId>();

  constructor(
    private readonly places: KnownPlaces,
    private readonly log: Pick<Log, 'error'>,
  ) {}

  /** A job's record has changed; null: the job has ended. */
  update(id: JobId, record: JobRecord | null): void {
    const problem = record && assignmentProblem(record, this.places);
    if (!problem) {
      this.misassigned.delete(id);
      return;
    }
    if (this.misassigned.has(id)) return;
    this.misassigned.add(id);
    this.log.error({ job: id, problem }, 'assignments of the job make no sense, its tasks are not moved');
  }

  has(id: JobId): boolean {
    return this.misassigned.has(id);
  }
}
