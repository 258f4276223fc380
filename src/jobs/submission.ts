/** Takes submissions: validates, looks for an existing job of that id, judges admission, and creates the job. */
import type { InstanceType } from '../cloud/wire.js';
import type { HttpResponse } from '../http/server.js';
import type { Log } from '../logging/log.js';
import { RangeSet } from '../model/ranges.js';
import type { Settings } from '../settings/settings.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { Clock, JobId, ClusterMs, SteadyMs, InstanceTypeId } from '../model/units.js';
import { NO_REVISION } from '../model/units.js';
import { rejectionReason } from './admission.js';
import type { ActiveJobs, StoreAccess } from './dependencies.js';
import type { FinalStateCache } from './final-states.js';
import type { LookupBatcher } from './lookup-batcher.js';
import type { JobLookup } from './lookup.js';
import { encodeRecord, finalStateKey, activeJobKey } from './codec.js';
import { storedSizeBytes } from './stored-size.js';
import type { Assignment, JobRecord } from './record.js';
import {
  existingJobAnswer,
  createdAnswer,
  rejectedAnswer,
  UNAVAILABLE,
  unavailableAnswer,
} from './responses.js';
import type { JobSpec } from './spec.js';
import { activeStatus, type TaskSources } from './status.js';
import { decodeSubmission } from './wire.js';

/** What a submission is judged by, besides the state service. */
export interface SubmissionContext extends StoreAccess, TaskSources {
  readonly settings: Settings;
  /** The cloud's catalog; empty while it is not known yet. */
  readonly types: ReadonlyMap<InstanceTypeId, InstanceType>;
  readonly clock: Clock;
  /** The time that the controllers count together. */
  readonly clusterClock: { now(now: SteadyMs): ClusterMs };
  readonly log: Log;
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
    if (submission.kind === 'malformed') return this.reject(submission.id, 400, submission.error);
    const spec = submission.spec;
    const finalState = this.finalStates.get(spec.id);
    if (finalState) return existingJobAnswer(spec.id, finalState);
    const { storeCache: view, types } = this.context;
    if (!view.loaded || types.size === 0 || !this.context.storeHealthy()) return UNAVAILABLE;
    if (this.activeJobs.has(spec.id)) return this.existingJob(spec.id);
    const reason = rejectionReason(spec, types.values(), this.context);
    if (reason !== null) return this.reject(spec.id, 422, reason);
    return this.create(spec);
  }

  /** An existing job is never refused, whatever the body says now. */
  private async reject(id: JobId | null, status: 400 | 422, error: string): Promise<HttpResponse> {
    if (id === null) return rejectedAnswer(status, error);
    const lookup = await this.lookups.lookUp(id);
    if (lookup.kind === 'absent') return rejectedAnswer(status, error);
    return this.answerFor(id, lookup);
  }

  private async existingJob(id: JobId): Promise<HttpResponse> {
    const lookup = await this.lookups.lookUp(id);
    return lookup.kind === 'absent' ? UNAVAILABLE : this.answerFor(id, lookup);
  }

  private answerFor(id: JobId, lookup: JobLookup): HttpResponse {
    if (lookup.kind === 'unknown' || lookup.kind === 'absent') return UNAVAILABLE;
    if (lookup.kind === 'ended') return existingJobAnswer(id, lookup.state);
    return existingJobAnswer(id, activeStatus(id, lookup.record, this.context).state);
  }

  private newRecord(spec: JobSpec): JobRecord {
    const { settings, storeCache: view, clusterClock: time, clock } = this.context;
    return {
      spec,
      homeShard: settings.shard,
      acceptedRevision: view.revision,
      acceptedAt: time.now(clock.now()),
      assignments: this.assign(spec),
      done: RangeSet.empty(),
    };
  }

  private async create(spec: JobSpec): Promise<HttpResponse> {
    const { store: state, storeCache: view, settings, log } = this.context;
    const record = this.newRecord(spec);
    if (storedSizeBytes(record) > settings.maxValueBytes)
      return this.reject(spec.id, 400, 'the description is too long');
    const value = encodeRecord(record);
    const conditions = [activeJobKey(spec.id), finalStateKey(spec.id)].map((key) => ({
      key,
      version: NO_REVISION,
    }));
    const change = { op: 'put', key: activeJobKey(spec.id), value } as const;
    let result = await state.compareAndSwap(conditions, [change], RequestPriority.submission);
    // Outcome unknown: a second try either creates the job or shows that it stands.
    if (result.kind === 'unknown')
      result = await state.compareAndSwap(conditions, [change], RequestPriority.submission);
    if (result.kind === 'conflict') return this.existingJob(spec.id);
    if (result.kind !== 'done') return unavailableAnswer(state.submitWait);
    const revision = result.revision;
    await this.context.exclusive(() => view.apply(change.key, value, revision));
    // The answer took so long that another controller has confirmed the job's end meanwhile.
    if (!this.activeJobs.has(spec.id)) return this.existingJob(spec.id);
    log.info({ job: spec.id, team: spec.team, tasks: spec.tasks, shape: spec.kind }, 'job accepted');
    return createdAnswer(spec.id);
  }
}
