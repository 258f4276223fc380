/** Users' requests: submit, status, abort. Every answer rests on a fresh word of the state service. */
import type { MachineType } from '../cloud/wire.js';
import type { Core } from '../core.js';
import type { Answer } from '../http/server.js';
import { Rank } from '../state/budget.js';
import type { Condition } from '../state/wire.js';
import type { JobId, Millis, StateKey, SteadyMs } from '../units.js';
import { millis, NO_REVISION } from '../units.js';
import { RangeSet } from '../ranges.js';
import { aboveLimit, fitsNoType } from './limits.js';
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
export type Standing =
  | { readonly kind: 'live'; readonly record: JobRecord }
  | { readonly kind: 'final'; readonly state: FinalState }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unclear' };

const BUSY: Answer = {
  status: 503,
  body: { error: 'state service not available, try again' },
  retryAfterS: 1,
};
const FINALS_KEPT = 20_000;
/** Polls that come within this time share one transaction; at a small request budget more of them do. */
const POLL_GAP = 60;
const POLL_SHARE = 0.25;
const MAX_POLL_GAP = 400;
/** A user waits 2 s for his answer: whoever's turn comes later than this is told at once. */
const POLL_PATIENCE = millis(1500);

/** Why a job can never run here, or null. */
export function impossible(
  spec: JobSpec,
  types: Iterable<MachineType>,
  core: Pick<Core, 'settings'>,
): string | null {
  const team = core.settings.teams.get(spec.team);
  if (!team) return `unknown team ${spec.team}`;
  return aboveLimit(spec, team) ?? fitsNoType(spec, [...types]);
}

/** Everybody who asks about one job, until a transaction goes out that answers them all. */
interface Poll {
  readonly id: JobId;
  readonly resolve: ((s: Standing) => void)[];
  /** When the last of them asked. */
  asked: SteadyMs;
  tries: number;
}

function enqueue(queue: Map<JobId, Poll>, poll: Poll): void {
  const known = queue.get(poll.id);
  if (!known) queue.set(poll.id, poll);
  else {
    known.resolve.push(...poll.resolve);
    known.asked = poll.asked;
  }
}

function tell(poll: Poll, standing: Standing): void {
  for (const resolve of poll.resolve) resolve(standing);
}

export class JobDesk {
  private readonly finals = new Map<JobId, FinalState>();
  /** Questions about jobs that our view shows as live, and about all others. */
  private readonly livePolls = new Map<JobId, Poll>();
  private readonly polls = new Map<JobId, Poll>();
  private polling = false;

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
    if (!this.core.view.loaded || this.core.types.size === 0 || !this.core.stateHealthy()) return BUSY;
    if (this.core.live.has(spec.id)) return this.known(spec.id);
    const why = impossible(spec, this.core.types.values(), this.core);
    if (why !== null) return this.refuse(spec.id, 422, why);
    return this.create(spec);
  }

  /** Tells the user when his turn can come. */
  private busy(): Answer {
    const wait = Math.ceil(this.core.state.submitWait / 1000);
    return { ...BUSY, retryAfterS: Math.min(30, Math.max(1, wait)) };
  }

  /** A known job is never refused, whatever the body says now. */
  private async refuse(id: JobId | null, status: number, error: string): Promise<Answer> {
    if (id === null) return { status, body: { error } };
    const standing = await this.standing(id);
    if (standing.kind === 'absent') return { status, body: { error } };
    return this.acceptedAnswer(id, standing);
  }

  private async known(id: JobId): Promise<Answer> {
    const standing = await this.standing(id);
    return standing.kind === 'absent' ? BUSY : this.acceptedAnswer(id, standing);
  }

  private acceptedAnswer(id: JobId, standing: Standing): Answer {
    if (standing.kind === 'unclear' || standing.kind === 'absent') return BUSY;
    const state = standing.kind === 'final' ? standing.state : this.statusOf(id, standing.record).state;
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
    if (result.kind === 'conflict') return this.known(spec.id);
    if (result.kind !== 'done') return this.busy();
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
    const standing = await this.standing(id);
    if (standing.kind === 'unclear') return BUSY;
    if (standing.kind === 'absent') return { status: 404, body: { error: 'no such job' } };
    if (standing.kind === 'live')
      return { status: 200, body: encodeStatus(this.statusOf(id, standing.record)) };
    const tasks = standing.state === 'done' ? (this.core.past.get(id)?.tasks ?? 0) : 0;
    return { status: 200, body: encodeStatus({ id, state: standing.state, done: tasks, running: 0 }) };
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
    return BUSY;
  }

  private async abortFresh(id: JobId): Promise<Answer | null> {
    const standing = await this.read(id);
    if (standing.kind === 'unclear') return BUSY;
    if (standing.kind === 'absent') return { status: 404, body: { error: 'no such job' } };
    if (standing.kind === 'final') return { status: 200, body: encodeAccepted(id, standing.state) };
    return this.abortAt(id, this.core.view.version(liveKey(id)));
  }

  /** null: the record has changed since that version. */
  private async abortAt(id: JobId, version: Condition['version']): Promise<Answer | null> {
    const result = await this.core.state.txn(
      [{ key: liveKey(id), version }],
      [
        { op: 'drop', key: liveKey(id) },
        { op: 'put', key: finalKey(id), value: encodeFinal('cancelled') },
      ],
      Rank.abort,
    );
    if (result.kind === 'conflict' || result.kind === 'unknown') return null;
    if (result.kind === 'refused') return BUSY;
    this.keepFinal(id, 'cancelled');
    await this.core.exclusive(() => this.core.view.learn(liveKey(id), undefined, result.revision));
    this.core.log.info({ job: id }, 'job cancelled');
    return { status: 200, body: encodeAccepted(id, 'cancelled') };
  }

  keepFinal(id: JobId, state: FinalState): void {
    this.finals.set(id, state);
    if (this.finals.size > FINALS_KEPT) this.finals.delete(this.finals.keys().next().value as JobId);
  }

  /**
   * What holds now. One look at what has changed since makes the view fresh for all live jobs asked about before
   * it; other jobs share a transaction that only compares: if no key has come, our view of them still stands.
   */
  private standing(id: JobId): Promise<Standing> {
    const final = this.finals.get(id);
    if (final) return Promise.resolve({ kind: 'final', state: final });
    if (!this.core.stateHealthy()) return Promise.resolve({ kind: 'unclear' });
    const queue = this.core.live.has(id) ? this.livePolls : this.polls;
    // Judged on arrival: a queue of questions whose users have gone would keep everybody's answer away for good.
    if (queue === this.polls && !queue.has(id) && this.pollWait() > POLL_PATIENCE)
      return Promise.resolve({ kind: 'unclear' });
    return new Promise((resolve) => {
      enqueue(queue, { id, resolve: [resolve], asked: this.core.clock.now(), tries: 0 });
      void this.runPolls();
    });
  }

  private get pollGap(): Millis {
    const gap = Math.min(MAX_POLL_GAP, 1000 / (this.core.state.requestRate * POLL_SHARE));
    return millis(Math.max(POLL_GAP, gap));
  }

  /** A job that is not live needs two conditions, of which a transaction takes four for each change. */
  private get pollBatch(): number {
    return this.core.settings.txnOps * 2;
  }

  private pollWait(): Millis {
    return millis(Math.ceil((this.polls.size + 1) / this.pollBatch) * this.pollGap);
  }

  private async runPolls(): Promise<void> {
    if (this.polling) return;
    this.polling = true;
    while (this.polls.size + this.livePolls.size > 0) {
      await this.core.sleep(this.pollGap);
      await this.answerLive([...this.livePolls.values()]);
      const batch = this.nextBatch();
      if (batch.length > 0) await this.checkBatch(batch);
    }
    this.polling = false;
  }

  private nextBatch(): Poll[] {
    const batch: Poll[] = [];
    for (const poll of this.polls.values()) {
      if (batch.length >= this.pollBatch) break;
      this.polls.delete(poll.id);
      // The store was slow: nobody waits for this answer any more.
      if (this.core.clock.now() - poll.asked > POLL_PATIENCE) tell(poll, { kind: 'unclear' });
      else batch.push(poll);
    }
    return batch;
  }

  /** The watch may have shown by now that nothing newer existed when they asked: then it costs nothing. */
  private async answerLive(batch: readonly Poll[]): Promise<void> {
    if (batch.length === 0) return;
    this.livePolls.clear();
    const asked = Math.max(...batch.map((p) => p.asked));
    const { view } = this.core;
    const fresh = (): boolean => view.loaded && view.confirmed >= asked;
    const sure = fresh() || ((await this.refresh()) && fresh());
    for (const poll of batch) {
      const record = this.core.live.get(poll.id);
      if (!sure) tell(poll, { kind: 'unclear' });
      else if (record) tell(poll, { kind: 'live', record });
      else enqueue(this.polls, poll);
    }
  }

  private viewed(id: JobId): Standing {
    const record = this.core.live.get(id);
    if (record) return { kind: 'live', record };
    return { kind: this.core.view.version(liveKey(id)) === NO_REVISION ? 'absent' : 'unclear' };
  }

  private conditionsFor(id: JobId): Condition[] {
    const live = { key: liveKey(id), version: this.core.view.version(liveKey(id)) };
    return live.version === NO_REVISION ? [live, { key: finalKey(id), version: NO_REVISION }] : [live];
  }

  private async checkBatch(batch: readonly Poll[]): Promise<void> {
    const seen = new Map(batch.map((p) => [p.id, this.viewed(p.id)] as const));
    const conditions = new Map<StateKey, Condition>();
    for (const p of batch) for (const c of this.conditionsFor(p.id)) conditions.set(c.key, c);
    const result = await this.core.state.txn([...conditions.values()], [], Rank.submit);
    if (result.kind === 'done') {
      for (const p of batch) tell(p, seen.get(p.id) as Standing);
      return;
    }
    if (result.kind !== 'conflict') {
      for (const p of batch) tell(p, { kind: 'unclear' });
      return;
    }
    const failed = new Set(result.failed);
    const reads: Promise<void>[] = [];
    for (const p of batch) {
      p.tries += 1;
      const stands = !failed.has(liveKey(p.id));
      // A final state stands for good: it need not be asked whether the job is live.
      if (failed.has(finalKey(p.id))) reads.push(this.readFinal(p.id).then((standing) => tell(p, standing)));
      else if (!stands || p.tries >= 4) reads.push(this.read(p.id).then((standing) => tell(p, standing)));
      else enqueue(this.polls, p);
    }
    await Promise.all(reads);
  }

  /** Reads the record, then the final state: a job that ends in between is found by the second read. */
  private async read(id: JobId): Promise<Standing> {
    const live = await this.core.state.get(liveKey(id), Rank.submit);
    if (live.kind === 'failed') return { kind: 'unclear' };
    if (live.kind === 'found') {
      const record = decodeRecord(live.entry.value);
      await this.core.exclusive(() =>
        this.core.view.learn(live.entry.key, live.entry.value, live.entry.version),
      );
      return record ? { kind: 'live', record } : { kind: 'unclear' };
    }
    return this.readFinal(id);
  }

  private async readFinal(id: JobId): Promise<Standing> {
    const final = await this.core.state.get(finalKey(id), Rank.submit);
    if (final.kind === 'failed') return { kind: 'unclear' };
    if (final.kind === 'absent') return { kind: 'absent' };
    const state = decodeFinal(final.entry.value);
    if (!state) return { kind: 'unclear' };
    this.keepFinal(id, state);
    return { kind: 'final', state };
  }
}
