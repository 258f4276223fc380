/**
 * Handles submissions: validates the body, looks for an existing job with the same id, decides admission, and creates
 * the job. The store prevents duplicates: a job is created on the condition that neither a record nor a final state
 * exists for its id.
 */
import type { InstanceType } from '../cloud/wire.js';
import type { HttpResponse } from '../http/server.js';
import type { Log } from '../logging/log.js';
import { RangeSet } from '../model/ranges.js';
import type { Settings } from '../settings/settings.js';
import type { Shard } from '../shards/model.js';
import type { Clock, JobId, ClusterMs, ShardId, SteadyMs, InstanceTypeId } from '../model/units.js';
import { rejectionReason } from './admission.js';
import type { ActiveJobs } from './dependencies.js';
import type { FinalStateCache } from './final-states.js';
import { createJobRecord, type JobCreationContext } from './job-creation.js';
import type { LookupBatcher } from './lookup-batcher.js';
import type { JobLookup } from './lookup.js';
import { storedSizeBytes } from './stored-size.js';
import type { Assignment, JobRecord } from './record.js';
import { responseTo, UNAVAILABLE, type RequestOutcome, type SubmissionRefusal } from './responses.js';
import type { JobSpec } from './spec.js';
import { activeStatus, type TaskSources } from './status.js';
import { decodeSubmission } from './wire.js';

/** The parts of the controller that submission uses. */
export interface SubmissionContext extends JobCreationContext, TaskSources {
  readonly settings: Settings;
  /** The cloud's instance types; empty until they are known. */
  readonly types: ReadonlyMap<InstanceTypeId, InstanceType>;
  readonly clock: Clock;
  /** The clock that all controllers share. */
  readonly clusterClock: { now(now: SteadyMs): ClusterMs };
  readonly log: Log;
  readonly shards: ReadonlyMap<ShardId, Shard>;
}

/** Answers users' submissions. */
export class JobSubmission {
  constructor(
    private readonly context: SubmissionContext,
    private readonly activeJobs: ActiveJobs,
    private readonly finalStates: FinalStateCache,
    private readonly lookups: LookupBatcher,
    /** Returns the initial assignments of a new job's tasks to shards. */
    private readonly assign: (spec: JobSpec) => Assignment[],
  ) {}

  /** Answers 201 once the job is committed, 200 if the job exists, and otherwise an error with the reason. */
  async submit(body: Buffer): Promise<HttpResponse> {
    const submission = decodeSubmission(body);
    if (submission.kind === 'malformed')
      return this.refuse(submission.id, { kind: 'malformed', reason: submission.error });
    const { spec } = submission;
    const finalState = this.finalStates.get(spec.id);
    if (finalState) return responseTo({ kind: 'existing', id: spec.id, state: finalState });
    if (!this.canDecide()) return responseTo(UNAVAILABLE);
    if (this.activeJobs.has(spec.id)) return this.existingJob(spec.id);
    const reason = rejectionReason(spec, this.context.types.values(), this.context.settings.teams);
    if (reason !== null) return this.refuse(spec.id, { kind: 'inadmissible', reason });
    return this.create(spec);
  }

  /**
   * Returns false while the store does not answer, and until active jobs and instance types are known: an admissible
   * job could be refused before.
   */
  private canDecide(): boolean {
    const { storeCache, types } = this.context;
    return storeCache.loaded && types.size > 0 && this.context.storeHealthy();
  }

  /**
   * Refuses a submission, unless the job exists: a repeated submission is never refused, whatever its body contains.
   */
  private async refuse(id: JobId | null, refusal: SubmissionRefusal): Promise<HttpResponse> {
    if (id === null) return responseTo(refusal);
    const lookup = await this.lookups.lookUp(id);
    return responseTo(lookup.kind === 'absent' ? refusal : this.existingOutcome(id, lookup));
  }

  private async existingJob(id: JobId): Promise<HttpResponse> {
    const lookup = await this.lookups.lookUp(id);
    return responseTo(this.existingOutcome(id, lookup));
  }

  /** `absent` contradicts the earlier evidence that the job exists, so the user has to send a new request. */
  private existingOutcome(id: JobId, lookup: JobLookup): RequestOutcome {
    if (lookup.kind === 'unknown' || lookup.kind === 'absent') return UNAVAILABLE;
    if (lookup.kind === 'ended') return { kind: 'existing', id, state: lookup.state };
    return { kind: 'existing', id, state: activeStatus(id, lookup.record, this.context).state };
  }

  private newRecord(spec: JobSpec): JobRecord {
    const { settings, storeCache, clusterClock, clock } = this.context;
    return {
      spec,
      homeShard: settings.shard,
      acceptedRevision: storeCache.revision,
      acceptedAt: clusterClock.now(clock.now()),
      assignments: this.assign(spec),
      done: RangeSet.empty(),
    };
  }

  /** Creates the job with one write, on the condition that no job with this id is active or has ended. */
  private async create(spec: JobSpec): Promise<HttpResponse> {
    const { store, settings, log } = this.context;
    const record = this.newRecord(spec);
    if (storedSizeBytes(record) > settings.maxValueBytes)
      return this.refuse(spec.id, { kind: 'malformed', reason: 'the description is too long' });
    const result = await createJobRecord(this.context, record);
    if (result.kind === 'conflict') return this.existingJob(spec.id);
    if (result.kind !== 'done') return responseTo({ kind: 'unavailable', expectedWait: store.submitWait });
    // The store's answer took so long that another controller has already confirmed the job's end to a user; answering
    // 'pending' would contradict it.
    if (!this.activeJobs.has(spec.id)) return this.existingJob(spec.id);
    log.info({ job: spec.id, team: spec.team, tasks: spec.tasks, kind: spec.kind }, 'job accepted');
    return responseTo({ kind: 'created', id: spec.id });
  }
}
