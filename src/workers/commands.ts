/**
 * Selects the commands to send to a worker, in the answer to its heartbeat or in a direct request, and marks launches
 * as sent. Any request that a worker has executed may reach it again. A copy of a launch has no effect while the worker
 * lists the attempt; a message that makes it forget an attempt therefore raises its fencing token, under which it refuses
 * all requests that were sent before.
 */
import type { Seconds } from '../model/units.js';
import type { Allocation, Machine, Shard } from '../shards/model.js';
import { mayForget, type ResultRecords } from './release-rules.js';
import type { WorkerCommand } from './wire.js';

/** Maximum number of commands of one kind per message, which keeps the message well under 64 KiB. */
const MAX_COMMANDS = 400;

/** The commands of one direct request. */
export interface CommandBatch {
  readonly commands: readonly WorkerCommand[];
  /** Allocations whose launch is among the commands. */
  readonly launches: readonly Allocation[];
}

/** A request without commands, which only tells the worker the fencing token. */
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

/** Returns the `forget` commands of a message to the worker, and raises the fencing token of the message if it has any. */
function takeForgetCommands(shard: Shard, machine: Machine, records: ResultRecords): WorkerCommand[] {
  const commands = forgetCommands(machine, records);
  return commands.length > 0 && shard.tokens.raiseTokenOf(machine) ? commands : [];
}

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

/**
 * Returns the commands for the answer to a heartbeat, including those that were sent before and that the worker's
 * status does not reflect yet. Marks launches as sent in this answer.
 */
export function commandsInReply(shard: Shard, machine: Machine, records: ResultRecords): WorkerCommand[] {
  // A higher token in this answer would make the worker refuse a launch that is on its way.
  const commands = machine.directLaunchInFlight ? [] : takeForgetCommands(shard, machine, records);
  for (const allocation of machine.allocations.values()) {
    if (commands.length >= MAX_COMMANDS) break;
    if (allocation.stop) commands.push(stopCommand(allocation));
    else if (allocation.phase === 'ordered' && !allocation.launchInFlight) {
      commands.push(startCommand(allocation));
      allocation.launchAnswerSequence = machine.lastHeartbeatSequence;
      allocation.launchPending = false;
    }
  }
  return commands.slice(0, MAX_COMMANDS);
}

/**
 * Returns the stops and launches that are due for a direct request, and marks them as sent. `forget` commands are added
 * only to a request that has at least one of these.
 */
export function takeDirectCommands(shard: Shard, machine: Machine, records: ResultRecords): CommandBatch {
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
  const commands = [...stops, ...takeForgetCommands(shard, machine, records), ...launches.map(startCommand)];
  return { commands: commands.slice(0, MAX_COMMANDS * 2), launches };
}

/**
 * Prevents: a launch that was sent in the answer to a heartbeat is sent directly as well, so that the absence of the
 * task from the next heartbeat no longer proves that the task will not start.
 */
function isDirectLaunchDue(allocation: Allocation): boolean {
  return (
    allocation.stop === null &&
    allocation.phase === 'ordered' &&
    allocation.launchPending &&
    !allocation.launchInFlight &&
    allocation.launchAnswerSequence === null
  );
}
