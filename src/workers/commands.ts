/**
 * Chooses the commands that a worker should get now, for the answer to its heartbeat or for a direct request, and marks
 * launches as sent. Every command may be repeated, except a launch after its removal: `release-rules.ts` prevents that.
 */
import type { Log } from '../logging/log.js';
import { taskId, type Seconds } from '../model/units.js';
import type { Allocation, Machine, Shard } from '../shards/model.js';
import { mayForget, type ResultRecords } from './release-rules.js';
import type { WorkerCommand } from './wire.js';

/** Commands of one kind in a message: keeps its one line well under 64 KiB. */
const MAX_COMMANDS = 400;

/** The content of one direct request. */
export interface CommandBatch {
  readonly commands: readonly WorkerCommand[];
  /** Allocations whose launch is among the commands. */
  readonly launches: readonly Allocation[];
}

/** Without commands a request still carries the fencing token. */
export const FENCING_TOKEN_ONLY: CommandBatch = { commands: [], launches: [] };

const startCommand = ({ job, index, attempt }: Allocation): WorkerCommand => ({
  kind: 'start',
  job,
  index,
  attempt,
});

const stopCommand = ({ job, index, attempt, stop }: Allocation): WorkerCommand => ({
  kind: 'stop',
  job,
  index,
  attempt,
  grace: (stop?.grace ?? 0) as Seconds,
});

function forgetCommands(machine: Machine, records: ResultRecords): WorkerCommand[] {
  const commands: WorkerCommand[] = [];
  for (const exitedTask of machine.exitedTasks.values()) {
    const { id, job, index, attempt } = exitedTask;
    const isLaunchedAgain = machine.allocations.get(id)?.attempt === attempt;
    if (!isLaunchedAgain && mayForget(records, exitedTask))
      commands.push({ kind: 'forget', job, index, attempt });
  }
  return commands;
}

/** Says which results a worker is told to forget: from then on only the store shows that these tasks have ended. */
export function logForgotten(
  log: Log,
  shard: Shard,
  machine: Machine,
  commands: readonly WorkerCommand[],
): void {
  for (const { kind, job, index, attempt } of commands) {
    if (kind !== 'forget') continue;
    const id = taskId(job, index);
    const { fencingToken } = shard;
    const cause = machine.exitedTasks.get(id)?.cause ?? null;
    log.debug({ task: id, machine: machine.id, attempt, cause, fencingToken }, 'forget');
  }
}

/** For the answer to a heartbeat: all that the worker does not show yet. Marks launches as sent in this answer. */
export function commandsInReply(machine: Machine, records: ResultRecords): WorkerCommand[] {
  const commands = forgetCommands(machine, records);
  for (const allocation of machine.allocations.values()) {
    if (commands.length >= MAX_COMMANDS) break;
    if (allocation.stop) commands.push(stopCommand(allocation));
    else if (allocation.phase === 'ordered' && !allocation.launchInFlight) {
      commands.push(startCommand(allocation));
      allocation.answeredSequence = machine.lastHeartbeatSequence;
      allocation.launchPending = false;
    }
  }
  return commands.slice(0, MAX_COMMANDS);
}

/** For a direct request: what is due and not yet sent, which is marked as sent. Exits ride along with that only. */
export function takeDirectCommands(machine: Machine, records: ResultRecords): CommandBatch {
  const stops: WorkerCommand[] = [];
  const launches: Allocation[] = [];
  for (const allocation of machine.allocations.values()) {
    if (stops.length + launches.length >= MAX_COMMANDS) break;
    if (allocation.stop?.direct === 'due') {
      allocation.stop.direct = 'sent';
      stops.push(stopCommand(allocation));
    } else if (isDirectLaunchDue(allocation)) {
      allocation.launchInFlight = true;
      allocation.launchPending = false;
      launches.push(allocation);
    }
  }
  if (stops.length + launches.length === 0) return FENCING_TOKEN_ONLY;
  const commands = [...stops, ...forgetCommands(machine, records), ...launches.map(startCommand)];
  return { commands: commands.slice(0, MAX_COMMANDS * 2), launches };
}

/**
 * Prevents: a launch that is in the answer to a heartbeat is sent directly as well, so that the absence of the task from
 * the next heartbeat no longer proves that it will not start.
 */
function isDirectLaunchDue(allocation: Allocation): boolean {
  return (
    allocation.stop === null &&
    allocation.phase === 'ordered' &&
    allocation.launchPending &&
    !allocation.launchInFlight &&
    allocation.answeredSequence === null
  );
}
