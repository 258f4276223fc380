/** Workers' messages, between their words and ours. */
import type { ExitCause } from '../model/exit-cause.js';
import * as v from 'valibot';
import type {
  Address,
  Attempt,
  JobId,
  MachineId,
  ControllerId,
  Seconds,
  Sequence,
  AgentEpoch,
  TaskIndex,
  FencingToken,
  InstanceTypeId,
  ZoneId,
} from '../model/units.js';
import { splitTaskId, taskId } from '../model/units.js';

export interface TaskStatus {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly state: 'fetching' | 'gathering' | 'running' | 'saving' | 'exited';
  readonly cause: ExitCause | null;
}

export interface Heartbeat {
  readonly machine: MachineId;
  readonly address: Address;
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  readonly agentEpoch: AgentEpoch;
  readonly sequence: Sequence;
  readonly fencingToken: FencingToken;
  readonly interruptionNoticeS: Seconds | null;
  readonly tasks: readonly TaskStatus[];
}

export type WorkerCommand =
  | { readonly op: 'start'; readonly job: JobId; readonly index: TaskIndex; readonly attempt: Attempt }
  | {
      readonly op: 'stop';
      readonly job: JobId;
      readonly index: TaskIndex;
      readonly attempt: Attempt;
      readonly grace: Seconds;
    }
  | { readonly op: 'forget'; readonly job: JobId; readonly index: TaskIndex; readonly attempt: Attempt };

const whole = v.pipe(v.number(), v.integer(), v.minValue(0));
// A state we do not know is taken for running: it holds room, and may be stopped.
const TASK_STATES: Record<string, TaskStatus['state']> = {
  pulling: 'fetching',
  gathering: 'gathering',
  running: 'running',
  saving: 'saving',
  exited: 'exited',
};
const EXIT_CAUSES: Record<string, ExitCause> = {
  done: 'done',
  halted: 'stopped',
  error: 'error',
  full: 'no-room',
  busy: 'busy',
  unknown: 'unknown',
  peers: 'peers',
  alone: 'alone',
};

const heartbeatSchema = v.object({
  berth: v.pipe(v.string(), v.regex(/^[\x21-\x7e]{1,100}$/)),
  endpoint: v.pipe(v.string(), v.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/)),
  hull: v.string(),
  harbor: v.string(),
  driftboats: v.boolean(),
  watch: whole,
  logNo: whole,
  helm: whole,
  recallS: v.optional(v.nullable(v.pipe(v.number(), v.finite())), null),
  legs: v.optional(
    v.nullable(
      v.array(
        v.object({
          leg: v.string(),
          sailing: whole,
          status: v.string(),
          cause: v.optional(v.nullable(v.string()), null),
        }),
      ),
    ),
    null,
  ),
});

export function decodeHeartbeat(body: unknown): Heartbeat | null {
  const result = v.safeParse(heartbeatSchema, body);
  if (!result.success) return null;
  const fields = result.output;
  const tasks: TaskStatus[] = [];
  for (const task of fields.legs ?? []) {
    const name = splitTaskId(task.leg);
    if (!name) return null;
    const state = TASK_STATES[task.status] ?? 'running';
    // A cause we do not know ends the task like an error: it is not running, and not done.
    const cause = state === 'exited' ? (EXIT_CAUSES[task.cause ?? ''] ?? 'error') : null;
    tasks.push({ ...name, attempt: task.sailing as Attempt, state, cause });
  }
  return {
    machine: fields.berth as MachineId,
    address: fields.endpoint as Address,
    type: fields.hull as InstanceTypeId,
    zone: fields.harbor as ZoneId,
    spot: fields.driftboats,
    agentEpoch: fields.watch as AgentEpoch,
    sequence: fields.logNo as Sequence,
    fencingToken: fields.helm as FencingToken,
    interruptionNoticeS: fields.recallS as Seconds | null,
    tasks,
  };
}

export function parseHeartbeat(body: Buffer): Heartbeat | null {
  try {
    return decodeHeartbeat(JSON.parse(body.toString('utf8')));
  } catch {
    return null;
  }
}

function encodeCommand(command: WorkerCommand): unknown {
  const task = { leg: taskId(command.job, command.index), sailing: command.attempt };
  if (command.op === 'start') return { order: 'launch', ...task };
  if (command.op === 'stop') return { order: 'kill', ...task, ebbS: command.grace };
  return { order: 'clear', ...task };
}

/** The answer to a report. */
export const encodeReply = (token: FencingToken, commands: readonly WorkerCommand[]): unknown => ({
  helm: token,
  orders: commands.map(encodeCommand),
});

/** Orders sent straight to a worker. */
export const encodeDirectCommands = (
  token: FencingToken,
  agentEpoch: AgentEpoch,
  commands: readonly WorkerCommand[],
): unknown => ({
  helm: token,
  watch: agentEpoch,
  orders: commands.map(encodeCommand),
});

export const encodeRedirect = (leader: ControllerId | null): unknown =>
  leader === null ? {} : { harbormaster: leader };
