/**
 * Users who ask several controllers at once, and a record of what they were told. An answer is judged against what the
 * same job's user knew when the question was sent: later answers to earlier questions may be older, no others.
 */
import type { HttpResponse } from '../../src/http/server.js';
import type { JobOptions, SimulatedCluster } from './simulated-cluster.js';

type FinalState = 'done' | 'cancelled';

interface UserJobHistory {
  submitted: boolean;
  accepted: boolean;
  cancelRequested: boolean;
  finalState: FinalState | null;
  /** When its user was first told that it is cancelled, by the world's clock. */
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

/** How long a user waits for an answer before he turns to another node, in milliseconds. */
const USER_TIMEOUT_MS = 5000;

const isFinal = (state: string): state is FinalState => state === 'done' || state === 'cancelled';

export class SimulatedUsers {
  private readonly histories = new Map<string, UserJobHistory>();
  private readonly submissionBodies = new Map<string, Record<string, unknown>>();
  private readonly finishedTasks = new Set<string>();
  private linesRead = 0;
  /** Questions, those not decided (503 or nothing), and those answered after the 2 s that a user waits. */
  readonly counts = { requests: 0, undecided: 0, late: 0 };

  constructor(private readonly cluster: SimulatedCluster) {}

  private historyOf(id: string): UserJobHistory {
    const known = this.histories.get(id);
    if (known) return known;
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

  /** Milliseconds by the world's clock; null: nobody has been told so. */
  cancelledAt(id: string): number | null {
    return this.historyOf(id).cancelledAt;
  }

  isAccepted(id: string): boolean {
    return this.historyOf(id).accepted;
  }

  /** The first submission says what the job is; later ones repeat it. */
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

  /** A question and a repeated submission at every node, now and at each of these delays. */
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
    const { finalState: final, accepted } = this.historyOf(id);
    const sent = this.cluster.clock.now();
    this.counts.requests += 1;
    const timeout = this.cluster.clock.sleep(USER_TIMEOUT_MS).then(() => null);
    const response = await Promise.race([this.cluster.request(node, method, path, body), timeout]);
    const answer = this.readAnswer(response);
    if (answer.status === 0 || answer.status >= 500) this.counts.undecided += 1;
    if (method === 'GET' && this.cluster.clock.now() - sent > 2000) this.counts.late += 1;
    this.checkAnswer(
      `n${node} ${method} ${path.replace('/v2/runs', '')}`,
      id,
      { finalState: final, accepted },
      answer,
    );
    return answer;
  }

  private readAnswer(answer: HttpResponse | null): UserAnswer {
    const body = (answer?.body ?? {}) as { status?: string };
    return { status: answer?.status ?? 0, state: body.status ?? '' };
  }

  private checkAnswer(question: string, id: string, known: KnowledgeAtRequest, answer: UserAnswer): void {
    const history = this.historyOf(id);
    const refusal = [400, 404, 422].includes(answer.status);
    if (refusal && known.accepted)
      this.reportViolation(`forgotten ${id}: ${question} answered ${answer.status}`);
    if (answer.status !== 200 && answer.status !== 201) return;
    if (!history.submitted) this.reportViolation(`invented ${id}: ${question} answered ${answer.state}`);
    if (known.finalState && answer.state !== known.finalState)
      this.reportViolation(`went_back ${id}: ${question} answered ${answer.state} after ${known.finalState}`);
    history.accepted = true;
    if (isFinal(answer.state)) this.checkFinalState(question, id, history, answer.state);
  }

  private checkFinalState(question: string, id: string, history: UserJobHistory, state: FinalState): void {
    if (history.finalState && history.finalState !== state)
      this.reportViolation(`went_back ${id}: ${question} answered ${state}, elsewhere ${history.finalState}`);
    if (state === 'cancelled' && !history.cancelRequested)
      this.reportViolation(`went_back ${id}: cancelled, which nobody asked for`);
    if (state === 'done' && !this.allTasksDone(id)) this.reportViolation(`not_done ${id}: ${question}`);
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

  private reportViolation(what: string): void {
    this.cluster.violations.push(`${this.cluster.clock.formatElapsed()} ${what}`);
  }
}
