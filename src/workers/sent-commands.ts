/**
 * Records the commands that are sent to workers: counts them, and remembers the attempts that workers were told to
 * forget. An attempt that a worker lists again was started by a copy of an executed request.
 */
import { CounterSet } from '../logging/counter-set.js';
import type { Log } from '../logging/log.js';
import { taskId, type Attempt, type FencingToken, type MachineId, type TaskId } from '../model/units.js';
import type { Machine, Shard } from '../shards/model.js';
import type { Heartbeat, TaskStatus, WorkerCommand } from './wire.js';

/** How many forgotten attempts are remembered; the oldest are dropped. */
const MAX_REMEMBERED_ATTEMPTS = 4096;

type SentCommandEvent = WorkerCommand['kind'] | 'reappeared';

const attemptKey = (machine: MachineId, task: TaskId, attempt: Attempt): string =>
  `${machine} ${task} ${attempt}`;

/** Counts sent commands and recognises attempts that a worker lists although it was told to forget them. */
export class SentCommands {
  /** The fencing token of the message that made the worker forget an attempt, oldest first. */
  private readonly forgottenUnder = new Map<string, FencingToken>();
  private readonly events = new CounterSet<SentCommandEvent>();

  constructor(private readonly log: Log) {}

  /** Returns how many commands of each kind were sent, and how many forgotten attempts were listed again. */
  counts(): Readonly<Record<string, number>> {
    return this.events.snapshot();
  }

  /** Records the commands of a message, after the fencing token of the message has been decided. */
  record(shard: Shard, machine: Machine, commands: readonly WorkerCommand[]): void {
    for (const { kind, job, index, attempt } of commands) {
      this.events.increment(kind);
      if (kind !== 'forget') continue;
      const task = taskId(job, index);
      const fencingToken = shard.tokens.tokenOf(machine);
      const cause = machine.exitedTasks.get(task)?.cause ?? null;
      this.log.debug({ task, machine: machine.id, attempt, cause, fencingToken }, 'forget');
      this.remember(attemptKey(machine.id, task, attempt), fencingToken);
    }
  }

  private remember(key: string, fencingToken: FencingToken): void {
    this.forgottenUnder.set(key, fencingToken);
    if (this.forgottenUnder.size <= MAX_REMEMBERED_ATTEMPTS) return;
    const [oldest] = this.forgottenUnder.keys();
    if (oldest !== undefined) this.forgottenUnder.delete(oldest);
  }

  /** Checks an attempt that the worker's previous status did not list. */
  checkUnexpected({ machine, agentEpoch, fencingToken }: Heartbeat, status: TaskStatus): void {
    const { job, index, attempt, state } = status;
    const task = taskId(job, index);
    const forgetToken = this.forgottenUnder.get(attemptKey(machine, task, attempt));
    if (forgetToken === undefined) return;
    this.events.increment('reappeared');
    this.log.warn(
      { machine, task, attempt, state, forgetToken, fencingToken, agentEpoch },
      'worker lists an attempt again that it was told to forget',
    );
  }
}
