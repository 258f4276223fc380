/**
 * Simulated users who send requests to several controllers at once, and checks of the answers. An answer must not be
 * older than what the user of the job knew when the request was sent; only an answer to an earlier request may be
 * older.
 */
import type { HttpResponse } from '../../src/http/server.js';
import type { JobOptions, SimulatedCluster } from './simulated-cluster.js';

type FinalState = 'done' | 'cancelled';

interface UserJobHistory {
  submitted: boolean;
  accepted: boolean;
  cancelRequested: boolean;
  finalState: FinalState | null;
  /** When its user was first told that it is cancelled, in milliseconds of the simulated clock. */
  cancelledAt: number | null;
}

interface KnowledgeAtRequest {
  readonly accepted: boolean;
  readonly finalState: FinalState | null;
}

export interface UserAnswer {
  readonly status: number;
  readonly state: string;
}

/** How long a user waits for an answer before trying another node. */
const USER_TIMEOUT_MS = 5000;

const isFinal = (state: string): state is FinalState => state === 'done' || state === 'cancelled';

export class SimulatedUsers {
  private readonly histories = new Map<string, UserJobHistory>();
  private readonly submissionBodies = new Map<string, Record<string, unknown>>();
  private readonly finishedTasks = new Set<string>();
  private linesRead = 0;
  /**
   * Requests in total, requests without a result (5xx or no answer), and queries answered after the 2 s that a user
   * waits.
   */
  readonly counts = { requests: 0, undecided: 0, late: 0 };

  constructor(private readonly cluster: SimulatedCluster) {}

  private historyOf(id: string): UserJobHistory {
    const existing = this.histories.get(id);
    if (existing) return existing;
    const history: UserJobHistory = {
      submitted: false,
      accepted: false,
      cancelRequested: false,
      finalState: null,
      cancelledAt: null,
    };
    this.histories.set(id, history);
    return history;
  }

  finalStateOf(id: string): FinalState | null {
    return this.historyOf(id).finalState;
  }

  /** When a user was first told that the job is cancelled, in milliseconds of the simulated clock; null if never. */
  cancelledAt(id: string): number | null {
    return this.historyOf(id).cancelledAt;
  }

  isAccepted(id: string): boolean {
    return this.historyOf(id).accepted;
  }

  /** Submits a job; the options of the first submission apply, and later submissions repeat it. */
  submit(node: number, id: string, options: JobOptions = {}): Promise<UserAnswer> {
    const body = this.submissionBodies.get(id) ?? this.cluster.submissionBody(id, options);
    this.submissionBodies.set(id, body);
    return this.submitBody(node, id, body);
  }

  submitBody(node: number, id: string, body: unknown): Promise<UserAnswer> {
    this.historyOf(id).submitted = true;
    return this.send(node, 'POST', id, '/v2/runs', body);
  }

  poll(node: number, id: string): Promise<UserAnswer> {
    return this.send(node, 'GET', id, `/v2/runs/${id}`);
  }

  cancel(node: number, id: string): Promise<UserAnswer> {
    this.historyOf(id).cancelRequested = true;
    return this.send(node, 'POST', id, `/v2/runs/${id}/abort`);
  }

  /** Queries and resubmits a job at every node after each of the delays. */
  pollAndResubmitEverywhere(id: string, delays: readonly number[]): void {
    for (const delay of delays) {
      this.cluster.clock.after(delay, () => {
        for (const node of this.cluster.nodes.keys()) {
          void this.poll(node, id);
          if (this.submissionBodies.has(id)) void this.submit(node, id);
        }
      });
    }
  }

  private async send(
    node: number,
    method: string,
    id: string,
    path: string,
    body?: unknown,
  ): Promise<UserAnswer> {
    const { finalState, accepted } = this.historyOf(id);
    const sentAt = this.cluster.clock.now();
    this.counts.requests += 1;
    const timeout = this.cluster.clock.sleep(USER_TIMEOUT_MS).then(() => null);
    const response = await Promise.race([this.cluster.request(node, method, path, body), timeout]);
    const answer = this.readAnswer(response);
    if (answer.status === 0 || answer.status >= 500) this.counts.undecided += 1;
    if (method === 'GET' && this.cluster.clock.now() - sentAt > 2000) this.counts.late += 1;
    this.checkAnswer(
      `n${node} ${method} ${path.replace('/v2/runs', '')}`,
      id,
      { finalState, accepted },
      answer,
    );
    return answer;
  }

  private readAnswer(response: HttpResponse | null): UserAnswer {
    const body = (response?.body ?? {}) as { status?: string };
    return { status: response?.status ?? 0, state: body.status ?? '' };
  }

  private checkAnswer(request: string, id: string, knowledge: KnowledgeAtRequest, answer: UserAnswer): void {
    const history = this.historyOf(id);
    const isRefusal = [400, 404, 422].includes(answer.status);
    if (isRefusal && knowledge.accepted)
      this.reportViolation(`forgotten ${id}: ${request} answered ${answer.status}`);
    if (answer.status !== 200 && answer.status !== 201) return;
    if (!history.submitted) this.reportViolation(`invented ${id}: ${request} answered ${answer.state}`);
    if (knowledge.finalState && answer.state !== knowledge.finalState)
      this.reportViolation(
        `went_back ${id}: ${request} answered ${answer.state} after ${knowledge.finalState}`,
      );
    history.accepted = true;
    if (isFinal(answer.state)) this.checkFinalState(request, id, history, answer.state);
  }

  private checkFinalState(request: string, id: string, history: UserJobHistory, state: FinalState): void {
    if (history.finalState && history.finalState !== state)
      this.reportViolation(`went_back ${id}: ${request} answered ${state}, elsewhere ${history.finalState}`);
    if (state === 'cancelled' && !history.cancelRequested)
      this.reportViolation(`went_back ${id}: cancelled, which nobody asked for`);
    if (state === 'done' && !this.allTasksDone(id)) this.reportViolation(`not_done ${id}: ${request}`);
    history.finalState ??= state;
    if (state === 'cancelled') history.cancelledAt ??= this.cluster.clock.now();
  }

  private allTasksDone(id: string): boolean {
    const { traceLines: lines } = this.cluster;
    for (; this.linesRead < lines.length; this.linesRead += 1) {
      const done = / ends (\S+): done$/.exec(lines[this.linesRead] ?? '');
      if (done) this.finishedTasks.add(done[1] ?? '');
    }
    const tasks = Number(this.submissionBodies.get(id)?.['legs'] ?? 0);
    for (let index = 0; index < tasks; index += 1)
      if (!this.finishedTasks.has(`${id}/${index}`)) return false;
    return true;
  }

  private reportViolation(violation: string): void {
    this.cluster.violations.push(`${this.cluster.clock.formatElapsed()} ${violation}`);
  }
}
