/**
 * Users who ask several controllers at once, and a record of what they were told. An answer is judged against what the
 * same job's user knew when the question was sent: later answers to earlier questions may be older, no others.
 */
import type { HttpResponse } from '../../src/http/server.js';
import type { JobOptions, World } from './world.js';

type FinalState = 'done' | 'cancelled';

interface JobStory {
  submitted: boolean;
  accepted: boolean;
  cancelAsked: boolean;
  final: FinalState | null;
  /** When its user was first told that it is cancelled, by the world's clock. */
  cancelledAt: number | null;
}

interface Knowledge {
  readonly accepted: boolean;
  readonly final: FinalState | null;
}

export interface Told {
  readonly status: number;
  readonly state: string;
}

/** How long a user waits for an answer before he turns to another node, in milliseconds. */
const PATIENCE = 5000;

const isFinal = (state: string): state is FinalState => state === 'done' || state === 'cancelled';

export class Users {
  private readonly stories = new Map<string, JobStory>();
  private readonly bodies = new Map<string, Record<string, unknown>>();
  private readonly finishedTasks = new Set<string>();
  private linesRead = 0;
  /** Questions, those not decided (503 or nothing), and those answered after the 2 s that a user waits. */
  readonly count = { asked: 0, undecided: 0, late: 0 };

  constructor(private readonly world: World) {}

  private story(id: string): JobStory {
    const known = this.stories.get(id);
    if (known) return known;
    const story: JobStory = {
      submitted: false,
      accepted: false,
      cancelAsked: false,
      final: null,
      cancelledAt: null,
    };
    this.stories.set(id, story);
    return story;
  }

  finalOf(id: string): FinalState | null {
    return this.story(id).final;
  }

  /** Milliseconds by the world's clock; null: nobody has been told so. */
  cancelledAt(id: string): number | null {
    return this.story(id).cancelledAt;
  }

  isAccepted(id: string): boolean {
    return this.story(id).accepted;
  }

  /** The first submission says what the job is; later ones repeat it. */
  submit(node: number, id: string, options: JobOptions = {}): Promise<Told> {
    const body = this.bodies.get(id) ?? this.world.submission(id, options);
    this.bodies.set(id, body);
    return this.submitBody(node, id, body);
  }

  submitBody(node: number, id: string, body: unknown): Promise<Told> {
    this.story(id).submitted = true;
    return this.ask(node, 'POST', id, '/v2/runs', body);
  }

  poll(node: number, id: string): Promise<Told> {
    return this.ask(node, 'GET', id, `/v2/runs/${id}`);
  }

  abort(node: number, id: string): Promise<Told> {
    this.story(id).cancelAsked = true;
    return this.ask(node, 'POST', id, `/v2/runs/${id}/abort`);
  }

  /** A question and a repeated submission at every node, now and at each of these delays. */
  lookClosely(id: string, delays: readonly number[]): void {
    for (const delay of delays) {
      this.world.clock.after(delay, () => {
        for (const node of this.world.nodes.keys()) {
          void this.poll(node, id);
          if (this.bodies.has(id)) void this.submit(node, id);
        }
      });
    }
  }

  private async ask(node: number, method: string, id: string, path: string, body?: unknown): Promise<Told> {
    const { final, accepted } = this.story(id);
    const sent = this.world.clock.now();
    this.count.asked += 1;
    const timeout = this.world.clock.sleep(PATIENCE).then(() => null);
    const answer = await Promise.race([this.world.request(node, method, path, body), timeout]);
    const told = this.toldBy(answer);
    if (told.status === 0 || told.status >= 500) this.count.undecided += 1;
    if (method === 'GET' && this.world.clock.now() - sent > 2000) this.count.late += 1;
    this.judge(`n${node} ${method} ${path.replace('/v2/runs', '')}`, id, { final, accepted }, told);
    return told;
  }

  private toldBy(answer: HttpResponse | null): Told {
    const said = (answer?.body ?? {}) as { status?: string };
    return { status: answer?.status ?? 0, state: said.status ?? '' };
  }

  private judge(question: string, id: string, known: Knowledge, told: Told): void {
    const story = this.story(id);
    const refusal = [400, 404, 422].includes(told.status);
    if (refusal && known.accepted) this.breaks(`forgotten ${id}: ${question} answered ${told.status}`);
    if (told.status !== 200 && told.status !== 201) return;
    if (!story.submitted) this.breaks(`invented ${id}: ${question} answered ${told.state}`);
    if (known.final && told.state !== known.final)
      this.breaks(`went_back ${id}: ${question} answered ${told.state} after ${known.final}`);
    story.accepted = true;
    if (isFinal(told.state)) this.judgeFinal(question, id, story, told.state);
  }

  private judgeFinal(question: string, id: string, story: JobStory, state: FinalState): void {
    if (story.final && story.final !== state)
      this.breaks(`went_back ${id}: ${question} answered ${state}, elsewhere ${story.final}`);
    if (state === 'cancelled' && !story.cancelAsked)
      this.breaks(`went_back ${id}: cancelled, which nobody asked for`);
    if (state === 'done' && !this.allTasksDone(id)) this.breaks(`not_done ${id}: ${question}`);
    story.final ??= state;
    if (state === 'cancelled') story.cancelledAt ??= this.world.clock.now();
  }

  private allTasksDone(id: string): boolean {
    const { lines } = this.world;
    for (; this.linesRead < lines.length; this.linesRead += 1) {
      const done = / ends (\S+): done$/.exec(lines[this.linesRead] ?? '');
      if (done) this.finishedTasks.add(done[1] ?? '');
    }
    const tasks = Number(this.bodies.get(id)?.['legs'] ?? 0);
    for (let index = 0; index < tasks; index += 1)
      if (!this.finishedTasks.has(`${id}/${index}`)) return false;
    return true;
  }

  private breaks(what: string): void {
    this.world.broken.push(`${this.world.clock.stamp()} ${what}`);
  }
}
