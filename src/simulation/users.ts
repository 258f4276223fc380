/** Simulated users: submit with retries, poll, cancel until confirmed, poll again later, and send irregular requests. */
import type { Call } from '../http/client.js';
import { HTTP_STATUS } from '../http/status.js';
import type { Millis } from '../model/units.js';
import type { EventQueue } from './clock.js';
import { encodeSubmission, type JobStorage, type UserJob } from './user-jobs.js';
import type { LoadBalancer } from './load-balancer.js';
import type { ExchangeOutcome } from './network.js';
import type { Observer, UserResponse, UserRequestKind } from './observer.js';
import type { RandomStream } from './random.js';
import type { Trace } from './trace.js';

const SUBMIT_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const POLL_INTERVAL_MS = 5000;
const SUBMIT_RETRY_PERIOD_MS = 60_000;
const RETRY_DELAY_MS = 1000;
const POLL_INTERVAL_FACTOR = { low: 0.9, high: 1.1 };
/** Number of requests after a job's end, the pause before each, and the share of them that repeat the submission. */
const LATE_REQUEST_COUNT = 2;
const LATE_REQUEST_DELAY_MS = { low: 1000, high: 40_000 };
const LATE_SUBMISSION_SHARE = 0.3;
const IRREGULAR_REQUEST_KIND_COUNT = 5;
/** More CPUs than any machine has. */
const IMPOSSIBLE_CPUS = 1e6;
const MAX_RETRY_DELAY_S = 30;
/** Number of polls of each controller after a change, and their interval, while `pollAllNodesOnChange` is set. */
const POLL_ROUNDS = 3;
const POLL_ROUND_INTERVAL_MS = 4;

/** Answers to users that can trigger a fault. */
export type UserEvent = 'accepted' | 'cancel_confirmed' | 'job_done';

/** Number of controllers, and the callback for answers that can trigger a fault. */
export interface UsersOptions {
  readonly controllers: number;
  readonly onEvent: (event: UserEvent, job: string) => void;
}

interface TrackedJob {
  readonly job: UserJob;
  state: string | null;
  cancelling: boolean;
}

/** Simulates the users of all jobs, from submission until each user knows the job's final state. */
export class Users {
  /** While set, users poll all controllers at once after each state change that an answer shows. */
  pollAllNodesOnChange = false;
  private readonly trackedJobs = new Map<string, TrackedJob>();

  constructor(
    private readonly queue: EventQueue,
    private readonly balancer: LoadBalancer,
    private readonly random: RandomStream,
    private readonly trace: Trace,
    private readonly observer: Observer,
    private readonly storage: JobStorage,
    private readonly options: UsersOptions,
  ) {}

  private wait(ms: number): Promise<void> {
    return new Promise((resolve) => this.queue.after(ms, resolve));
  }

  private call(kind: UserRequestKind, id: string, body: unknown): Call {
    const path = kind === 'submit' ? '/v2/runs' : `/v2/runs/${id}${kind === 'cancel' ? '/abort' : ''}`;
    const timeout = (kind === 'ask' ? POLL_TIMEOUT_MS : SUBMIT_TIMEOUT_MS) as Millis;
    if (kind === 'ask') return { method: 'GET', path, timeout };
    return { method: 'POST', path, timeout, body };
  }

  private async request(
    kind: UserRequestKind,
    id: string,
    options: { body?: unknown; node?: number; irregular?: boolean } = {},
  ): Promise<{ answer: UserResponse; retryAfterS: number }> {
    const sentAt = this.queue.now;
    const call = this.call(kind, id, options.body ?? {});
    const { node } = options;
    const outcome: ExchangeOutcome =
      node === undefined ? await this.balancer.request(call) : await this.balancer.requestAt(node, call);
    const answered = outcome.kind === 'answer';
    const answer: UserResponse = {
      kind,
      job: id,
      sentAt,
      answeredAt: this.queue.now,
      status: answered ? outcome.status : null,
      state: answered ? parseState(outcome.body) : null,
      irregular: options.irregular ?? false,
    };
    const where = node === undefined ? '' : ` at n${node}`;
    this.trace.add(`user ${kind} ${id}${where}: ${answer.status ?? 'no answer'} ${answer.state ?? ''}`);
    this.observer.responseReceived(answer);
    this.updateKnownState(answer);
    return { answer, retryAfterS: outcome.retryAfterS ?? 0 };
  }

  private updateKnownState(answer: UserResponse): void {
    const job = this.trackedJobs.get(answer.job);
    if (!job || answer.state === null || job.state === 'done' || job.state === 'cancelled') return;
    const isFirstState = job.state === null;
    job.state = answer.state;
    if (isFirstState) this.notify('accepted', answer.job);
    if (job.state === 'cancelled') this.notify('cancel_confirmed', answer.job);
    if (job.state === 'done') this.notify('job_done', answer.job);
  }

  private notify(event: UserEvent, job: string): void {
    this.options.onEvent(event, job);
    if (this.pollAllNodesOnChange) void this.pollAllNodes(job);
  }

  /** Polls all controllers in rounds a few milliseconds apart, and repeats the submission in each round. */
  private async pollAllNodes(id: string): Promise<void> {
    const job = this.trackedJobs.get(id)?.job;
    for (let round = 0; round < POLL_ROUNDS; round += 1) {
      for (let node = 0; node < this.options.controllers; node += 1) void this.request('ask', id, { node });
      if (job) {
        const node = this.random.integer(0, this.options.controllers - 1);
        void this.request('submit', id, { node, body: encodeSubmission(job) });
      }
      await this.wait(POLL_ROUND_INTERVAL_MS);
    }
  }

  /** Simulates one job's user: submission, polling until the job ends, and a few late requests. */
  async runJob(job: UserJob, cancelAfterMs: number | null): Promise<void> {
    const tracked: TrackedJob = { job, state: null, cancelling: false };
    this.trackedJobs.set(job.id, tracked);
    this.storage.jobs.set(job.id, job);
    this.observer.jobSubmitted(job);
    if (!(await this.submit(job))) return;
    if (cancelAfterMs !== null) this.queue.after(cancelAfterMs, () => this.cancel(job.id));
    while (tracked.state !== 'done' && tracked.state !== 'cancelled') {
      await this.wait(POLL_INTERVAL_MS * this.random.within(POLL_INTERVAL_FACTOR));
      await this.request('ask', job.id);
    }
    for (let count = 0; count < LATE_REQUEST_COUNT; count += 1) {
      await this.wait(this.random.within(LATE_REQUEST_DELAY_MS));
      const kind = this.random.chance(LATE_SUBMISSION_SHARE) ? 'submit' : 'ask';
      await this.request(kind, job.id, { body: encodeSubmission(job) });
    }
  }

  private async submit(job: UserJob): Promise<boolean> {
    const deadline = this.queue.now + SUBMIT_RETRY_PERIOD_MS;
    while (this.queue.now < deadline) {
      const { answer, retryAfterS } = await this.request('submit', job.id, { body: encodeSubmission(job) });
      if (answer.state !== null) return true;
      if (answer.status === HTTP_STATUS.badRequest || answer.status === HTTP_STATUS.unprocessableContent)
        return false;
      await this.wait(retryDelayMs(retryAfterS));
    }
    return false;
  }

  /** Cancels a job; repeats the request until the answer is `cancelled` or `done`. */
  cancel(id: string): void {
    const tracked = this.trackedJobs.get(id);
    if (!tracked || tracked.cancelling) return;
    tracked.cancelling = true;
    this.observer.cancelRequested(id);
    void this.repeatCancel(tracked);
  }

  private async repeatCancel(tracked: TrackedJob): Promise<void> {
    for (;;) {
      const { answer, retryAfterS } = await this.request('cancel', tracked.job.id);
      if (answer.state === 'cancelled' || answer.state === 'done') return;
      await this.wait(retryDelayMs(retryAfterS));
    }
  }

  /** Returns the jobs last answered as pending or running that are not being cancelled, in order of submission. */
  openJobs(): UserJob[] {
    return [...this.trackedJobs.values()]
      .filter(
        (tracked) => (tracked.state === 'pending' || tracked.state === 'running') && !tracked.cancelling,
      )
      .map((tracked) => tracked.job);
  }

  /**
   * Sends one irregular request: a repeated submission, the cancellation of a job that is done, a repeated submission
   * that lacks a field, a malformed job, or a status request for a job that does not exist. Only the last two have
   * `irregular` set.
   */
  sendIrregularRequest(number: number): void {
    const doneJobs = [...this.trackedJobs.values()].filter((tracked) => tracked.state === 'done');
    const openJobs = this.openJobs();
    const choice = this.random.integer(0, IRREGULAR_REQUEST_KIND_COUNT - 1);
    if (choice === 0 && openJobs.length > 0) {
      const job = this.random.pick(openJobs);
      void this.request('submit', job.id, { body: encodeSubmission(job) });
    } else if (choice === 1 && doneJobs.length > 0) {
      void this.request('cancel', this.random.pick(doneJobs).job.id);
    } else if (choice === 2 && openJobs.length > 0) {
      // A repeated submission that lacks a field: the job is known, so the request must not be refused.
      const job = this.random.pick(openJobs);
      void this.request('submit', job.id, { body: omitField(encodeSubmission(job), 'vcpus') });
    } else if (choice === 3) this.submitMalformed(number);
    else void this.request('ask', `req-nobody${number}`, { irregular: true });
  }

  private submitMalformed(number: number): void {
    const template = [...this.trackedJobs.values()][0]?.job;
    if (!template) return;
    const id = `req-odd${number}`;
    const validBody = encodeSubmission({ ...template, id });
    const body = this.random.chance(0.5)
      ? omitField(validBody, 'legs')
      : { ...validBody, vcpus: IMPOSSIBLE_CPUS, hulls: null };
    void this.request('submit', id, { body, irregular: true });
  }
}

/** Returns the retry delay that the answer asks for, within bounds. */
const retryDelayMs = (retryAfterS: number): number =>
  Math.max(RETRY_DELAY_MS, Math.min(MAX_RETRY_DELAY_S, retryAfterS) * 1000);

function omitField(body: Record<string, unknown>, field: string): Record<string, unknown> {
  return Object.fromEntries(Object.entries(body).filter(([name]) => name !== field));
}

function parseState(body: unknown): string | null {
  const state = (body as { status?: unknown } | null)?.status;
  return typeof state === 'string' ? state : null;
}
