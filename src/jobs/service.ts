/**
 * Handles users' requests about jobs: submission, status and cancellation. No answer is based on cached state that may
 * be older than the request, so that an answer never contradicts an earlier answer of another controller.
 */
import type { HttpResponse } from '../http/server.js';
import type { JobId, Revision } from '../model/units.js';
import { JobCancellation } from './cancellation.js';
import type { ActiveJobs, Timers } from './dependencies.js';
import { FinalStateCache } from './final-states.js';
import { LookupBatcher } from './lookup-batcher.js';
import { JobReader, type JobLookup } from './lookup.js';
import type { Assignment, FinalState } from './record.js';
import { NOT_FOUND, responseTo, UNAVAILABLE, type RequestOutcome } from './responses.js';
import type { JobSpec } from './spec.js';
import { activeStatus } from './status.js';
import { JobSubmission, type SubmissionContext } from './submission.js';
import { isJobId } from './wire.js';

/** The parts of the controller that the service uses. */
export interface JobServiceContext extends SubmissionContext, Timers {
  readonly activeJobs: ActiveJobs;
  /** Specifications of recently ended jobs. */
  readonly recentlyEndedJobs: Pick<ReadonlyMap<JobId, JobSpec>, 'get'>;
}

/** Answers users' requests about jobs. */
export class JobService {
  private readonly finalStates = new FinalStateCache();
  private readonly lookups: LookupBatcher;
  private readonly submission: JobSubmission;
  private readonly cancellation: JobCancellation;

  /**
   * `assign` returns the initial assignments of a new job's tasks; `refresh` brings the watch cache up to date, or
   * resolves to false if the store did not answer; `announceCancelled` notifies the peers of a committed cancellation.
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

  /** Handles a submission; `body` is the body of the request. */
  submit(body: Buffer): Promise<HttpResponse> {
    return this.submission.submit(body);
  }

  /** Answers a poll for a job's status; `id` is text from the request's path. */
  async status(id: string): Promise<HttpResponse> {
    if (!isJobId(id)) return responseTo(NOT_FOUND);
    const lookup = await this.lookups.lookUp(id);
    return responseTo(this.statusOutcome(id, lookup));
  }

  private statusOutcome(id: JobId, lookup: JobLookup): RequestOutcome {
    switch (lookup.kind) {
      case 'unknown':
        return UNAVAILABLE;
      case 'absent':
        return NOT_FOUND;
      case 'active':
        return { kind: 'status', status: activeStatus(id, lookup.record, this.context) };
      case 'ended': {
        // A final state has no task count: the count is known only while the specification of the ended job is cached.
        const done = lookup.state === 'done' ? (this.context.recentlyEndedJobs.get(id)?.tasks ?? 0) : 0;
        return { kind: 'status', status: { id, state: lookup.state, done, running: 0 } };
      }
    }
  }

  /** Cancels a job; `id` is text from the request's path. */
  async cancel(id: string): Promise<HttpResponse> {
    return isJobId(id) ? this.cancellation.cancel(id) : responseTo(NOT_FOUND);
  }

  /** Caches the final state of a job whose end the store has confirmed. */
  rememberFinal(id: JobId, state: FinalState): void {
    this.finalStates.remember(id, state);
  }
}
