/** Users' requests: submit, status, abort. Every answer rests on a fresh word of the state service. */
import type { Core } from '../core.js';
import type { Answer } from '../http/server.js';
import { Rank } from '../state/budget.js';
import type { Condition } from '../state/wire.js';
import type { JobId, Millis, StateKey, SteadyMs } from '../units.js';
import { millis, NO_REVISION } from '../units.js';
import { RangeSet } from '../ranges.js';
import { impossible } from './admission.js';
import {
  decodeFinal,
  decodeRecord,
  encodeFinal,
  encodeRecord,
  finalKey,
  liveKey,
  recordBytes,
  type Assignment,
  type FinalState,
  type JobRecord,
} from './record.js';
import type { JobSpec } from './spec.js';
import { decodeSubmission, encodeAccepted, encodeStatus, isJobId, type JobStatus } from './wire.js';

/** What the state service says of a job now. */
export type JobLookup =
  | { readonly kind: 'active'; readonly record: JobRecord }
  | { readonly kind: 'ended'; readonly state: FinalState }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unknown' };

const UNAVAILABLE: Answer = {
  status: 503,
  body: { error: 'state service not available, try again' },
  retryAfterS: 1,
};
const MAX_FINAL_STATES = 20_000;
/** Polls that come within this time share one transaction; at a small request budget more of them do. */
const BATCH_INTERVAL_MS = 60;
const REQUEST_SHARE = 0.25;
const MAX_BATCH_INTERVAL_MS = 400;
/** A user waits 2 s for his answer: whoever's turn comes later than this is told at once. */
const MAX_QUERY_WAIT = millis(1500);

/** Everybody who asks about one job, until a transaction goes out that answers them all. */
interface Query {
  readonly id: JobId;
  readonly resolve: ((s: JobLookup) => void)[];
  /** When the last of them asked. */
  asked: SteadyMs;
  tries: number;
}

function enqueue(queue: Map<JobId, Query>, query: Query): void {
  const queued = queue.get(query.id);
  if (!queued) queue.set(query.id, query);
  else {
    queued.resolve.push(...query.resolve);
    queued.asked = query.asked;
  }
}

function respond(query: Query, lookup: JobLookup): void {
  for (const resolve of query.resolve) resolve(lookup);
}

export class JobService {
  private readonly finals = new Map<JobId, FinalState>();
  /** Questions about jobs that our view shows as live, and about all others. */
  private readonly activeQueries = new Map<JobId, Query>();
  private readonly otherQueries = new Map<JobId, Query>();
  private running = false;

  constructor(
    private readonly core: Core,
    /** Where a new job's tasks go first. */
    private readonly assign: (spec: JobSpec) => Assignment[],
    /** Brings the view up to date; false: the state service did not answer. */
    private readonly refresh: () => Promise<boolean>,
  ) {}

  async submit(body: Buffer): Promise<Answer> {
    const submission = decodeSubmission(body);
    if (submission.kind === 'malformed') return this.refuse(submission.id, 400, submission.error);
    const spec = submission.spec;
    const final = this.finals.get(spec.id);
    if (final) return { status: 200, body: encodeAccepted(spec.id, final) };
    if (!this.core.view.loaded || this.core.types.size === 0 || !this.core.stateHealthy()) return UNAVAILABLE;
    if (this.core.live.has(spec.id)) return this.existingJob(spec.id);
    const why = impossible(spec, this.core.types.values(), this.core);
    if (why !== null) return this.refuse(spec.id, 422, why);
    return this.create(spec);
  }

  /** Tells the user when his turn can come. */
  private unavailable(): Answer {
    const wait = Math.ceil(this.core.state.submitWait / 1000);
    return { ...UNAVAILABLE, retryAfterS: Math.min(30, Math.max(1, wait)) };
  }

  /** A known job is never refused, whatever the body says now. */
  private async refuse(id: JobId | null, status: number, error: string): Promise<Answer> {
    if (id === null) return { status, body: { error } };
    const lookup = await this.lookUp(id);
    if (lookup.kind === 'absent') return { status, body: { error } };
    return this.acceptedAnswer(id, lookup);
  }

  private async existingJob(id: JobId): Promise<Answer> {
    const lookup = await this.lookUp(id);
    return lookup.kind === 'absent' ? UNAVAILABLE : this.acceptedAnswer(id, lookup);
  }

  private acceptedAnswer(id: JobId, lookup: JobLookup): Answer {
    if (lookup.kind === 'unknown' || lookup.kind === 'absent') return UNAVAILABLE;
    const state = lookup.kind === 'ended' ? lookup.state : this.statusOf(id, lookup.record).state;
    return { status: 200, body: encodeAccepted(id, state) };
  }

  private async create(spec: JobSpec): Promise<Answer> {
    const record: JobRecord = {
      spec,
      home: this.core.settings.part,
      born: this.core.view.revision,
      accepted: this.core.time.now(this.core.clock.now()),
      assignments: this.assign(spec),
      done: RangeSet.empty(),
    };
    if (recordBytes(record) > this.core.settings.valueBytes) {
      return { status: 400, body: { error: 'the description is too long' } };
    }
    const value = encodeRecord(record);
    const when = [liveKey(spec.id), finalKey(spec.id)].map((key) => ({ key, version: NO_REVISION }));
    const change = { op: 'put', key: liveKey(spec.id), value } as const;
    let result = await this.core.state.txn(when, [change], Rank.submit);
    // Unclear: a second try either creates the job or shows that it stands.
    if (result.kind === 'unknown') result = await this.core.state.txn(when, [change], Rank.submit);
    if (result.kind === 'conflict') return this.existingJob(spec.id);
    if (result.kind !== 'done') return this.unavailable();
    const revision = result.revision;
    await this.core.exclusive(() => this.core.view.learn(change.key, value, revision));
    this.core.log.info(
      { job: spec.id, team: spec.team, tasks: spec.tasks, shape: spec.shape },
      'job accepted',
    );
    return { status: 201, body: encodeAccepted(spec.id, 'pending') };
  }

  async status(id: string): Promise<Answer> {
    if (!isJobId(id)) return { status: 404, body: { error: 'no such job' } };
    const lookup = await this.lookUp(id);
    if (lookup.kind === 'unknown') return UNAVAILABLE;
    if (lookup.kind === 'absent') return { status: 404, body: { error: 'no such job' } };
    if (lookup.kind === 'active')
      return { status: 200, body: encodeStatus(this.statusOf(id, lookup.record)) };
    const tasks = lookup.state === 'done' ? (this.core.past.get(id)?.tasks ?? 0) : 0;
    return { status: 200, body: encodeStatus({ id, state: lookup.state, done: tasks, running: 0 }) };
  }

  private statusOf(id: JobId, record: JobRecord): JobStatus {
    let running = 0;
    let done = record.done.size;
    for (const part of this.core.parts.values()) {
      done += part.jobs.get(id)?.finished.size ?? 0;
      for (const b of part.boundOf.get(id) ?? []) if (b.phase === 'running') running += 1;
    }
    for (const peer of this.core.peers.values()) running += peer.running.get(id) ?? 0;
    running = Math.min(running, record.spec.tasks - done);
    return { id, state: running > 0 ? 'running' : 'pending', done, running: Math.max(0, running) };
  }

  async abort(id: string): Promise<Answer> {
    if (!isJobId(id)) return { status: 404, body: { error: 'no such job' } };
    for (let i = 0; i < 5; i += 1) {
      const version = this.core.live.has(id) && i === 0 ? this.core.view.version(liveKey(id)) : NO_REVISION;
      const answer = version === NO_REVISION ? await this.abortFresh(id) : await this.abortAt(id, version);
      if (answer) return answer;
    }
    return UNAVAILABLE;
  }

  private async abortFresh(id: JobId): Promise<Answer | null> {
    const lookup = await this.read(id);
    if (lookup.kind === 'unknown') return UNAVAILABLE;
    if (lookup.kind === 'absent') return { status: 404, body: { error: 'no such job' } };
    if (lookup.kind === 'ended') return { status: 200, body: encodeAccepted(id, lookup.state) };
    return this.abortAt(id, this.core.view.version(liveKey(id)));
  }

  /** null: the record has changed since that version. */
  private async abortAt(id: JobId, version: Condition['version']): Promise<Answer | null> {
    // The view may have dropped the job after our read found it live: its end must not be overwritten then.
    const result = await this.core.state.txn(
      [
        { key: liveKey(id), version },
        { key: finalKey(id), version: NO_REVISION },
      ],
      [
        { op: 'drop', key: liveKey(id) },
        { op: 'put', key: finalKey(id), value: encodeFinal('cancelled') },
      ],
      Rank.abort,
    );
    if (result.kind === 'conflict' || result.kind === 'unknown') return null;
    if (result.kind === 'refused') return UNAVAILABLE;
    this.rememberFinal(id, 'cancelled');
    await this.core.exclusive(() => this.core.view.learn(liveKey(id), undefined, result.revision));
    this.core.log.info({ job: id }, 'job cancelled');
    return { status: 200, body: encodeAccepted(id, 'cancelled') };
  }

  rememberFinal(id: JobId, state: FinalState): void {
    this.finals.set(id, state);
    if (this.finals.size > MAX_FINAL_STATES) this.finals.delete(this.finals.keys().next().value as JobId);
  }

  /**
   * What holds now. One look at what has changed since makes the view fresh for all live jobs asked about before
   * it; other jobs share a transaction that only compares: if no key has come, our view of them still stands.
   */
  private lookUp(id: JobId): Promise<JobLookup> {
    const final = this.finals.get(id);
    if (final) return Promise.resolve({ kind: 'ended', state: final });
    if (!this.core.stateHealthy()) return Promise.resolve({ kind: 'unknown' });
    const queue = this.core.live.has(id) ? this.activeQueries : this.otherQueries;
    // Judged on arrival: a queue of questions whose users have gone would keep everybody's answer away for good.
    if (queue === this.otherQueries && !queue.has(id) && this.expectedWait() > MAX_QUERY_WAIT)
      return Promise.resolve({ kind: 'unknown' });
    return new Promise((resolve) => {
      enqueue(queue, { id, resolve: [resolve], asked: this.core.clock.now(), tries: 0 });
      void this.runBatches();
    });
  }

  private get batchInterval(): Millis {
    const gap = Math.min(MAX_BATCH_INTERVAL_MS, 1000 / (this.core.state.requestRate * REQUEST_SHARE));
    return millis(Math.max(BATCH_INTERVAL_MS, gap));
  }

  /** A job that is not live needs two conditions, of which a transaction takes four for each change. */
  private get batchSize(): number {
    return this.core.settings.txnOps * 2;
  }

  private expectedWait(): Millis {
    return millis(Math.ceil((this.otherQueries.size + 1) / this.batchSize) * this.batchInterval);
  }

  private async runBatches(): Promise<void> {
    if (this.running) return;
    this.running = true;
    while (this.otherQueries.size + this.activeQueries.size > 0) {
      await this.core.sleep(this.batchInterval);
      await this.answerActive([...this.activeQueries.values()]);
      const batch = this.nextBatch();
      if (batch.length > 0) await this.checkBatch(batch);
    }
    this.running = false;
  }

  private nextBatch(): Query[] {
    const batch: Query[] = [];
    for (const query of this.otherQueries.values()) {
      if (batch.length >= this.batchSize) break;
      this.otherQueries.delete(query.id);
      // The store was slow: nobody waits for this answer any more.
      if (this.core.clock.now() - query.asked > MAX_QUERY_WAIT) respond(query, { kind: 'unknown' });
      else batch.push(query);
    }
    return batch;
  }

  /** The watch may have shown by now that nothing newer existed when they asked: then it costs nothing. */
  private async answerActive(batch: readonly Query[]): Promise<void> {
    if (batch.length === 0) return;
    this.activeQueries.clear();
    const asked = Math.max(...batch.map((p) => p.asked));
    const { view } = this.core;
    const fresh = (): boolean => view.loaded && view.confirmed >= asked;
    const sure = fresh() || ((await this.refresh()) && fresh());
    for (const query of batch) {
      const record = this.core.live.get(query.id);
      if (!sure) respond(query, { kind: 'unknown' });
      else if (record) respond(query, { kind: 'active', record });
      else enqueue(this.otherQueries, query);
    }
  }

  private lookupFromView(id: JobId): JobLookup {
    const record = this.core.live.get(id);
    if (record) return { kind: 'active', record };
    return { kind: this.core.view.version(liveKey(id)) === NO_REVISION ? 'absent' : 'unknown' };
  }

  private conditionsFor(id: JobId): Condition[] {
    const live = { key: liveKey(id), version: this.core.view.version(liveKey(id)) };
    return live.version === NO_REVISION ? [live, { key: finalKey(id), version: NO_REVISION }] : [live];
  }

  private async checkBatch(batch: readonly Query[]): Promise<void> {
    const seen = new Map(batch.map((p) => [p.id, this.lookupFromView(p.id)] as const));
    const conditions = new Map<StateKey, Condition>();
    for (const p of batch) for (const c of this.conditionsFor(p.id)) conditions.set(c.key, c);
    const result = await this.core.state.txn([...conditions.values()], [], Rank.submit);
    if (result.kind === 'done') {
      for (const p of batch) respond(p, seen.get(p.id) as JobLookup);
      return;
    }
    if (result.kind !== 'conflict') {
      for (const p of batch) respond(p, { kind: 'unknown' });
      return;
    }
    const failed = new Set(result.failed);
    const reads: Promise<void>[] = [];
    for (const p of batch) {
      p.tries += 1;
      const stands = !failed.has(liveKey(p.id));
      // A final state stands for good: it need not be asked whether the job is live.
      if (failed.has(finalKey(p.id))) reads.push(this.readFinal(p.id).then((lookup) => respond(p, lookup)));
      else if (!stands || p.tries >= 4) reads.push(this.read(p.id).then((lookup) => respond(p, lookup)));
      else enqueue(this.otherQueries, p);
    }
    await Promise.all(reads);
  }

  /** Reads the record, then the final state: a job that ends in between is found by the second read. */
  private async read(id: JobId): Promise<JobLookup> {
    const live = await this.core.state.get(liveKey(id), Rank.submit);
    if (live.kind === 'failed') return { kind: 'unknown' };
    if (live.kind === 'found') {
      const record = decodeRecord(live.entry.value);
      await this.core.exclusive(() =>
        this.core.view.learn(live.entry.key, live.entry.value, live.entry.version),
      );
      return record ? { kind: 'active', record } : { kind: 'unknown' };
    }
    return this.readFinal(id);
  }

  private async readFinal(id: JobId): Promise<JobLookup> {
    const final = await this.core.state.get(finalKey(id), Rank.submit);
    if (final.kind === 'failed') return { kind: 'unknown' };
    if (final.kind === 'absent') return { kind: 'absent' };
    const state = decodeFinal(final.entry.value);
    if (!state) return { kind: 'unknown' };
    this.rememberFinal(id, state);
    return { kind: 'ended', state };
  }
}
