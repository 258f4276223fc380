/**
 * Takes submissions: validates, looks for an existing job of that id, decides admission, and creates the job. Relies on
 * the store to refuse a second job of an id: a job is created on condition that neither its record nor its final state
 * exists.
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

/** What a submission is decided by, besides the store. */
export interface SubmissionContext extends JobCreationContext, TaskSources {
  readonly settings: Settings;
  /** The cloud's instance types; empty while they are not known yet. */
  readonly types: ReadonlyMap<InstanceTypeId, InstanceType>;
  readonly clock: Clock;
  /** The time that the controllers count together. */
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
    /** Where a new job's tasks go first. */
    private readonly assign: (spec: JobSpec) => Assignment[],
  ) {}

  /** 201 once the job is committed, 200 for a job that exists, and otherwise why it was not taken. */
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

  /** Before the active jobs and the instance types are known, an admissible job could be refused. */
  private canDecide(): boolean {
    const { storeCache, types } = this.context;
    return storeCache.loaded && types.size > 0 && this.context.storeHealthy();
  }

  /** A repeated submission of an existing job is never refused, whatever its body says now. */
  private async refuse(id: JobId | null, refusal: SubmissionRefusal): Promise<HttpResponse> {
    if (id === null) return responseTo(refusal);
    const lookup = await this.lookups.lookUp(id);
    return responseTo(lookup.kind === 'absent' ? refusal : this.existingOutcome(id, lookup));
  }

  private async existingJob(id: JobId): Promise<HttpResponse> {
    const lookup = await this.lookups.lookUp(id);
    return responseTo(this.existingOutcome(id, lookup));
  }

  /** `absent` contradicts what was seen of the job just before: only a new request can tell. */
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

  /** One write, on condition that no job of that id is active or has ended. */
  private async create(spec: JobSpec): Promise<HttpResponse> {
    const { store, settings, log } = this.context;
    const record = this.newRecord(spec);
    if (storedSizeBytes(record) > settings.maxValueBytes)
      return this.refuse(spec.id, { kind: 'malformed', reason: 'the description is too long' });
    const result = await createJobRecord(this.context, record);
    if (result.kind === 'conflict') return this.existingJob(spec.id);
    if (result.kind !== 'done') return responseTo({ kind: 'unavailable', expectedWait: store.submitWait });
    // The answer took so long that another controller has confirmed the job's end meanwhile: 'pending' would contradict
    // it.
    if (!this.activeJobs.has(spec.id)) return this.existingJob(spec.id);
    log.info({ job: spec.id, team: spec.team, tasks: spec.tasks, kind: spec.kind }, 'job accepted');
    return responseTo({ kind: 'created', id: spec.id });
  }
}
