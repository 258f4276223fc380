/** Tracks active jobs with invalid task assignments, and logs each of them once. */
import type { Log } from '../logging/log.js';
import type { JobId } from '../model/units.js';
import { assignmentProblem, type Topology } from './assignment-check.js';
import type { JobRecord } from './record.js';

/** Active jobs with invalid assignments, whose tasks must not be moved to other shards. */
export class MisassignedJobs {
  private readonly misassigned = new Set<JobId>();

  constructor(
    private readonly topology: Topology,
    private readonly log: Pick<Log, 'error'>,
  ) {}

  /** Checks a job's record after a change; `record` is null if the job has ended. */
  update(id: JobId, record: JobRecord | null): void {
    const problem = record && assignmentProblem(record, this.topology);
    if (!problem) {
      this.misassigned.delete(id);
      return;
    }
    if (this.misassigned.has(id)) return;
    this.misassigned.add(id);
    this.log.error({ job: id, problem }, 'job has invalid task assignments, its tasks are not moved');
  }

  has(id: JobId): boolean {
    return this.misassigned.has(id);
  }
}
