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
  readonly session: AgentEpoch;
  readonly sequence: Sequence;
  readonly token: FencingToken;
  readonly noticeS: Seconds | null;
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
const STATES: Record<string, TaskStatus['state']> = {
  pulling: 'fetching',
  gathering: 'gathering',
  running: 'running',
  saving: 'saving',
  exited: 'exited',
};
const CAUSES: Record<string, ExitCause> = {
  done: 'done',
  halted: 'stopped',
  error: 'error',
  full: 'no-room',
  busy: 'busy',
  unknown: 'unknown',
  peers: 'peers',
  alone: 'alone',
};

const report = v.object({
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

export function decodeReport(body: unknown): Heartbeat | null {
  const result = v.safeParse(report, body);
  if (!result.success) return null;
  const r = result.output;
  const tasks: TaskStatus[] = [];
  for (const t of r.legs ?? []) {
    const name = splitTaskId(t.leg);
    if (!name) return null;
    const state = STATES[t.status] ?? 'running';
    // A cause we do not know ends the task like an error: it is not running, and not done.
    const cause = state === 'exited' ? (CAUSES[t.cause ?? ''] ?? 'error') : null;
    tasks.push({ ...name, attempt: t.sailing as Attempt, state, cause });
  }
  return {
    machine: r.berth as MachineId,
    address: r.endpoint as Address,
    type: r.hull as InstanceTypeId,
    zone: r.harbor as ZoneId,
    spot: r.driftboats,
    session: r.watch as AgentEpoch,
    sequence: r.logNo as Sequence,
    token: r.helm as FencingToken,
    noticeS: r.recallS as Seconds | null,
    tasks,
  };
}

export function parseReport(body: Buffer): Heartbeat | null {
  try {
    return decodeReport(JSON.parse(body.toString('utf8')));
  } catch {
    return null;
  }
}

function encodeOrder(o: WorkerCommand): unknown {
  const task = { leg: taskId(o.job, o.index), sailing: o.attempt };
  if (o.op === 'start') return { order: 'launch', ...task };
  if (o.op === 'stop') return { order: 'kill', ...task, ebbS: o.grace };
  return { order: 'clear', ...task };
}

/** The answer to a report. */
export const encodeReply = (token: FencingToken, orders: readonly WorkerCommand[]): unknown => ({
  helm: token,
  orders: orders.map(encodeOrder),
});

/** Orders sent straight to a worker. */
export const encodeDirect = (
  token: FencingToken,
  session: AgentEpoch,
  orders: readonly WorkerCommand[],
): unknown => ({
  helm: token,
  watch: session,
  orders: orders.map(encodeOrder),
});

export const encodeRedirect = (owner: ControllerId | null): unknown =>
  owner === null ? {} : { harbormaster: owner };
