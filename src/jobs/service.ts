/** Users' requests: submit, status, cancel. Every answer rests on a fresh word of the state service. */
import type { HttpResponse } from '../http/server.js';
import type { JobId, Revision } from '../model/units.js';
import { JobCancellation } from './cancellation.js';
import type { ActiveJobs, Timers } from './dependencies.js';
import { FinalStateCache } from './final-states.js';
import { LookupBatcher } from './lookup-batcher.js';
import { JobReader } from './lookup.js';
import type { Assignment, FinalState } from './record.js';
import { NOT_FOUND, statusAnswer, UNAVAILABLE } from './responses.js';
import type { JobSpec } from './spec.js';
import { activeStatus } from './status.js';
import { JobSubmission, type SubmissionContext } from './submission.js';
import { isJobId } from './wire.js';

/** What the service uses of the controller. */
export interface JobServiceContext extends SubmissionContext, Timers {
  readonly activeJobs: ActiveJobs;
  /** Specs of jobs that ended lately. */
  readonly recentlyEndedJobs: Pick<ReadonlyMap<JobId, JobSpec>, 'get'>;
}

/** Answers users' requests about jobs. */
export class JobService {
  private readonly finalStates = new FinalStateCache();
  private readonly lookups: LookupBatcher;
  private readonly submission: JobSubmission;
  private readonly cancellation: JobCancellation;

  /**
   * `assign` says where a new job's tasks go first; `refresh` brings the view up to date, or resolves false when the
   * state service did not answer; `announceCancelled` tells the peers of a committed cancellation.
   */
  constructor(
    private readonly context: JobServiceContext,
    assign: (spec: JobSpec) => Assignment[],
    refresh: () => Promise<boolean>,
    announceCancelled: (id: JobId, version: Revision) => void,
  ) {
    const { activeJobs, settings, log } = context;
    const reader = new JobReader(context, this.finalStates);
    this.lookups = new LookupBatcher(
      context,
      activeJobs,
      this.finalStates,
      reader,
      settings.maxTransactionOps,
      refresh,
    );
    this.submission = new JobSubmission(context, activeJobs, this.finalStates, this.lookups, assign);
    this.cancellation = new JobCancellation(
      context,
      activeJobs,
      this.finalStates,
      reader,
      log,
      announceCancelled,
    );
  }

  /** Takes a submission, given as the request's body. */
  submit(body: Buffer): Promise<HttpResponse> {
    return this.submission.submit(body);
  }

  /** Answers a poll for a job's status; `id` is text from the request's path. */
  async status(id: string): Promise<HttpResponse> {
    if (!isJobId(id)) return NOT_FOUND;
    const lookup = await this.lookups.lookUp(id);
    if (lookup.kind === 'unknown') return UNAVAILABLE;
    if (lookup.kind === 'absent') return NOT_FOUND;
    if (lookup.kind === 'active') return statusAnswer(activeStatus(id, lookup.record, this.context));
    const done = lookup.state === 'done' ? (this.context.recentlyEndedJobs.get(id)?.tasks ?? 0) : 0;
    return statusAnswer({ id, state: lookup.state, done, running: 0 });
  }

  /** Cancels a job; `id` is text from the request's path. */
  async cancel(id: string): Promise<HttpResponse> {
    return isJobId(id) ? this.cancellation.cancel(id) : NOT_FOUND;
  }

  /** A job has ended, as the state service has confirmed. */
  rememberFinal(id: JobId, state: FinalState): void {
    this.finalStates.remember(id, state);
  }
}
