/** One placement round: what it reads, what it decides, and the room and limits that it has left so far. */
import type { InstanceType } from '../cloud/wire.js';
import type { JobSpec } from '../jobs/spec.js';
import {
  add,
  addTo,
  fits,
  subtract,
  ZERO,
  type MutableResources,
  type Resources,
} from '../model/resources.js';
import {
  freeResources,
  usageOf,
  type Allocation,
  type Machine,
  type Shard,
  type ShardJob,
} from '../shards/model.js';
import { isSchedulable } from '../shards/machine-health.js';
import type { Team } from '../settings/settings.js';
import type { Attempt, JobId, MachineId, SteadyMs, TeamId, InstanceTypeId } from '../model/units.js';

export { isSchedulable };

/** Without any start by then it goes before all but critical work, of whatever priority. One start ends that. */
export const OVERDUE_AFTER_MS = 150_000;

export interface SchedulingContext {
  readonly now: SteadyMs;
  readonly types: ReadonlyMap<InstanceTypeId, InstanceType>;
  readonly teams: ReadonlyMap<TeamId, Team>;
  /** This part's share of the team's limit. */
  readonly shardQuota: (team: TeamId) => Resources;
  /** What the team uses on other parts, by their announcements. */
  readonly usageOnOtherShards: (team: TeamId) => Resources;
  /** Does the job fit into its team's guarantee together with the team's earlier unfinished jobs? */
  readonly guaranteed: (job: JobId) => boolean;
  /** Has a peer announced room for a task like this? Then it is asked before anybody is stopped. */
  readonly peerHasCapacity: (spec: JobSpec) => boolean;
  /** The largest multiple of a deadline that the users of this lane still count. */
  readonly maxLatenessFactor: (jobClass: string) => number;
  /** Actual over estimated run time that this lane has shown. */
  readonly runtimeCorrection: (jobClass: string) => number;
  readonly reportMs: number;
  /** How long a gang's task waits for the others before it gives up, in milliseconds. */
  readonly gangWaitMs: number;
}

export interface TaskStart {
  readonly job: ShardJob;
  readonly index: number;
  readonly machine: Machine;
  /** The attempt that it joins; absent: a new one. */
  readonly attempt?: Attempt;
}

export interface TaskStop {
  readonly allocation: Allocation;
  readonly graceS: number;
}

export interface UnplacedTasks {
  readonly job: ShardJob;
  readonly reason: 'room' | 'limit';
  /** `all`: everything that waits of a job without pins; told so, since thousands of tasks may wait round after round. */
  readonly indices: readonly number[] | 'all';
}

/** A gang that its pool could not hold even if all lesser work left it, and how many of its tasks have no place. */
export interface OversizedGang {
  readonly job: ShardJob;
  readonly missingTasks: number;
}

export const unplacedCount = (unplaced: UnplacedTasks): number =>
  unplaced.indices === 'all' ? unplaced.job.waiting.size : unplaced.indices.length;

export interface SchedulingPlan {
  readonly starts: TaskStart[];
  readonly stops: TaskStop[];
  readonly reservations: { job: ShardJob; index: number; machine: MachineId; reserved: boolean }[];
  readonly unplaced: UnplacedTasks[];
  /** By team: the share of its limit that one task, or one gang, needs for which smaller ones now make way. */
  readonly quotaReservations: Map<TeamId, Resources>;
  /** The first of those that have waited for long. */
  oversizedGang: OversizedGang | null;
}

export interface CycleState {
  /** Room for starts of this round, of machines that were looked at. */
  readonly freeResources: Map<MachineId, MutableResources>;
  /** Room on machines where tasks were stopped in this round: for holds, not for starts. */
  readonly freeAfterStops: Map<MachineId, MutableResources>;
  readonly usage: Map<TeamId, Resources>;
  readonly unattributedUsage: Resources;
  readonly stopping: Set<Allocation>;
  readonly stoppingUsage: Map<TeamId, Resources>;
  preemptionSearches: number;
  /** Machines that are kept for tasks that fit nowhere. */
  reservedMachines: number;
}

export const teamUsage = (state: CycleState, team: TeamId): Resources => state.usage.get(team) ?? ZERO;

export const usageAfterStops = (state: CycleState, team: TeamId, context: SchedulingContext): Resources =>
  add(
    subtract(teamUsage(state, team), state.stoppingUsage.get(team) ?? ZERO),
    context.usageOnOtherShards(team),
  );

/** What the team may be using here with one more task of the job. */
export const usageWithTask = (spec: JobSpec, state: CycleState): Resources =>
  add(add(teamUsage(state, spec.team), state.unattributedUsage), spec);

export const fitsShardQuota = (spec: JobSpec, state: CycleState, context: SchedulingContext): boolean =>
  fits(usageWithTask(spec, state), context.shardQuota(spec.team));

/** Room as this round leaves it; null: nothing may start there. */
export function freeResourcesOn(
  machine: Machine,
  state: CycleState,
  context: SchedulingContext,
): MutableResources | null {
  const known = state.freeResources.get(machine.id);
  if (known) return known;
  if (!isSchedulable(machine, context)) return null;
  const free = freeResources(machine, context.types.get(machine.type));
  state.freeResources.set(machine.id, free);
  return free;
}

export function adjustFreeResources(
  free: MutableResources | null | undefined,
  spec: JobSpec,
  sign: 1 | -1,
): void {
  if (free) addTo(free, spec, -sign);
}

/** Told to stop: it no longer counts for the team's guarantee, but for its limit until it is seen gone. */
export function addStoppingUsage(state: CycleState, spec: JobSpec): void {
  state.stoppingUsage.set(spec.team, add(state.stoppingUsage.get(spec.team) ?? ZERO, spec));
}

export const addTaskUsage = (state: CycleState, spec: JobSpec): void => addTeamUsage(state, spec.team, spec);

export function addTeamUsage(state: CycleState, team: TeamId, amount: Resources): void {
  state.usage.set(team, add(teamUsage(state, team), amount));
}

export function deadlineAt(job: ShardJob): number {
  return job.spec.deadlineS === null ? Infinity : job.acceptedAt + job.spec.deadlineS * 1000;
}

/** 0: its deadline can be kept; 1: its users' second measure of lateness can; 2: neither. */
export function lateness(job: ShardJob, remainingMs: number, context: SchedulingContext): number {
  if (job.spec.deadlineS === null) return 0;
  const expectedTurnaroundMs = context.now + remainingMs - job.acceptedAt;
  const deadlineMs = job.spec.deadlineS * 1000;
  return expectedTurnaroundMs < deadlineMs
    ? 0
    : expectedTurnaroundMs < deadlineMs * context.maxLatenessFactor(job.spec.jobClass)
      ? 1
      : 2;
}

export function newCycleState(shard: Shard): CycleState {
  const usage = usageOf(shard);
  const state: CycleState = {
    freeResources: new Map(),
    freeAfterStops: new Map(),
    usage: new Map(
      [...usage.byTeam].map(([team, { cpus, gpus, memoryGb }]) => [team, { cpus, gpus, memoryGb }]),
    ),
    unattributedUsage: usage.unattributed,
    stopping: new Set(),
    stoppingUsage: new Map(),
    preemptionSearches: 0,
    reservedMachines: 0,
  };
  for (const allocation of shard.stopping) if (allocation.spec) addStoppingUsage(state, allocation.spec);
  return state;
}

/** Remembers the round as it stands; the returned function takes everything back that was decided since. */
export function savepoint(state: CycleState, plan: SchedulingPlan): () => void {
  const freeResources = copyFreeResources(state.freeResources);
  const freeAfterStops = copyFreeResources(state.freeAfterStops);
  const usage = new Map(state.usage);
  const stoppingUsage = new Map(state.stoppingUsage);
  const stopping = new Set(state.stopping);
  const { stops, reservations } = plan;
  const lengths = { stops: stops.length, holds: reservations.length };
  return () => {
    restoreFreeResources(state.freeResources, freeResources);
    restoreFreeResources(state.freeAfterStops, freeAfterStops);
    replaceEntries(state.usage, usage);
    replaceEntries(state.stoppingUsage, stoppingUsage);
    state.stopping.clear();
    for (const allocation of stopping) state.stopping.add(allocation);
    stops.length = lengths.stops;
    reservations.length = lengths.holds;
  };
}

const copyFreeResources = (freeResources: CycleState['freeResources']): Map<MachineId, MutableResources> =>
  new Map([...freeResources].map(([id, free]) => [id, { ...free }]));

/** In place: searches of this round hold on to the rooms that they have found. */
function restoreFreeResources(
  freeResources: CycleState['freeResources'],
  saved: ReadonlyMap<MachineId, MutableResources>,
): void {
  for (const [id, free] of freeResources) {
    const before = saved.get(id);
    if (before) Object.assign(free, before);
    else freeResources.delete(id);
  }
}

function replaceEntries<K, V>(map: Map<K, V>, saved: ReadonlyMap<K, V>): void {
  map.clear();
  for (const [key, value] of saved) map.set(key, value);
}
