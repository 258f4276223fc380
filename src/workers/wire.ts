/**
 * Converts between the messages of the worker protocol and the types of this project. Only this module uses the
 * protocol's field names. Malformed bodies decode to null; decoding never throws.
 */
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

/** Status codes of the worker protocol, in answers to heartbeats and in replies to direct commands. */
export const WorkerStatus = {
  ok: 200,
  /** The request could not be decoded; nothing was executed. */
  malformed: 400,
  /** From a worker: nothing was executed, because the fencing token or the agent epoch is outdated. */
  stale: 409,
  /** To a worker: another controller leads its shard. */
  notLeader: 421,
  /** To a worker: this controller cannot command it at the moment. */
  unavailable: 503,
} as const;

/** Request paths of the worker's own HTTP server. */
export const WorkerPath = { status: '/status', commands: '/orders' } as const;

interface TaskIdentity {
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
}

/** A task that occupies the machine. `gathering`: it waits for the other tasks of its gang. */
export interface ActiveTaskStatus extends TaskIdentity {
  readonly state: 'fetching' | 'gathering' | 'running' | 'saving';
}

/** A task that has ended. The worker keeps reporting it until it receives the `forget` command. */
export interface ExitedTaskStatus extends TaskIdentity {
  readonly state: 'exited';
  readonly cause: ExitCause;
}

/** One task in a worker's status. */
export type TaskStatus = ActiveTaskStatus | ExitedTaskStatus;

/** A worker's status, sent as the body of its heartbeats and of its replies to direct commands. */
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

/**
 * A command about one attempt of a task. Commands are idempotent, except that a `start` (also called a launch) must not
 * follow the attempt's `forget`.
 */
export type WorkerCommand =
  | (TaskIdentity & { readonly kind: 'start' })
  /** `grace`: time that the task has for saving its progress. */
  | (TaskIdentity & { readonly kind: 'stop'; readonly grace: Seconds })
  | (TaskIdentity & { readonly kind: 'forget' });

const wholeNumber = v.pipe(v.number(), v.integer(), v.minValue(0));
// An unknown state is treated as running: the task uses capacity and can be stopped.
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
  watch: wholeNumber,
  logNo: wholeNumber,
  helm: wholeNumber,
  recallS: v.optional(v.nullable(v.pipe(v.number(), v.finite())), null),
  legs: v.optional(
    v.nullable(
      v.array(
        v.object({
          leg: v.string(),
          sailing: wholeNumber,
          status: v.string(),
          cause: v.optional(v.nullable(v.string()), null),
        }),
      ),
    ),
    null,
  ),
});

/** Decodes a status from its parsed JSON. Returns null if it is malformed. */
export function decodeHeartbeat(body: unknown): Heartbeat | null {
  const result = v.safeParse(heartbeatSchema, body);
  if (!result.success) return null;
  const fields = result.output;
  const tasks: TaskStatus[] = [];
  for (const task of fields.legs ?? []) {
    const identity = splitTaskId(task.leg);
    if (!identity) return null;
    const attempt = task.sailing as Attempt;
    const state = TASK_STATES[task.status] ?? 'running';
    // An unknown cause is treated as an error: the task is not running and has not completed.
    if (state === 'exited')
      tasks.push({ ...identity, attempt, state, cause: EXIT_CAUSES[task.cause ?? ''] ?? 'error' });
    else tasks.push({ ...identity, attempt, state });
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

/** Decodes a heartbeat from the body of its request. Returns null if it is malformed. */
export function parseHeartbeat(body: Buffer): Heartbeat | null {
  try {
    return decodeHeartbeat(JSON.parse(body.toString('utf8')));
  } catch {
    return null;
  }
}

function encodeCommand(command: WorkerCommand): unknown {
  const task = { leg: taskId(command.job, command.index), sailing: command.attempt };
  if (command.kind === 'start') return { order: 'launch', ...task };
  if (command.kind === 'stop') return { order: 'kill', ...task, ebbS: command.grace };
  return { order: 'clear', ...task };
}

/** Encodes the body of a 200 answer to a heartbeat. */
export const encodeReply = (fencingToken: FencingToken, commands: readonly WorkerCommand[]): unknown => ({
  helm: fencingToken,
  orders: commands.map(encodeCommand),
});

/** Encodes the body of a direct request to a worker. */
export const encodeDirectCommands = (
  fencingToken: FencingToken,
  agentEpoch: AgentEpoch,
  commands: readonly WorkerCommand[],
): unknown => ({
  helm: fencingToken,
  watch: agentEpoch,
  orders: commands.map(encodeCommand),
});

/**
 * Encodes the body of an answer that redirects a worker to its leader, or to any other controller if `leader` is null.
 */
export const encodeRedirect = (leader: ControllerId | null): unknown =>
  leader === null ? {} : { harbormaster: leader };
