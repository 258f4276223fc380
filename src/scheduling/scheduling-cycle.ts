/**
 * The state of one scheduling cycle of a shard: free resources and quota after the decisions so far, and the
 * plan that holds these decisions. The stages of the cycle share it; it is discarded at the end of the cycle.
 */
import type { JobSpec } from '../jobs/spec.js';
import {
  add,
  addTo,
  fits,
  scale,
  subtract,
  ZERO,
  type MutableResources,
  type Resources,
} from '../model/resources.js';
import type { MachineId, TeamId } from '../model/units.js';
import {
  freeResources,
  usageOf,
  type Allocation,
  type Machine,
  type Shard,
  type ShardJob,
} from '../shards/model.js';
import { NonPreemptiveReservations } from './non-preemptive-reservations.js';
import { newPlan, type SchedulingContext, type SchedulingPlan } from './cycle.js';
import { isSchedulable } from '../shards/machine-health.js';

/** Subtracts the resources of one task from `free`; does nothing if `free` is absent. */
export function takeResources(free: MutableResources | null | undefined, spec: JobSpec): void {
  if (free) addTo(free, spec, -1);
}

/** Adds the resources of one task to `free`; does nothing if `free` is absent. */
export function returnResources(free: MutableResources | null | undefined, spec: JobSpec): void {
  if (free) addTo(free, spec, 1);
}

/** State shared by the stages of one cycle of one shard. */
export class SchedulingCycle {
  readonly plan: SchedulingPlan = newPlan();
  /** Resources that are free for starts of this cycle, for the machines examined so far. */
  readonly freeResources = new Map<MachineId, MutableResources>();
  /**
   * Resources that will be free once the tasks that this cycle stops have ended; for reservations, not for
   * starts.
   */
  readonly freeAfterStops = new Map<MachineId, MutableResources>();
  /** Tasks that this cycle stops. */
  readonly stopping = new Set<Allocation>();
  /** Number of searches for preemption victims so far; limited per cycle. */
  preemptionSearches = 0;
  /** Number of reservations without preemption that earlier cycles made and that still hold. */
  nonPreemptiveReservationCount = 0;
  readonly nonPreemptiveReservations = new NonPreemptiveReservations();
  private readonly usage: Map<TeamId, Resources>;
  /** Usage by tasks whose team is not known. */
  private readonly unattributedUsage: Resources;
  private usageByServices: ReadonlyMap<TeamId, Resources> | null = null;
  private readonly usageBeingStopped = new Map<TeamId, Resources>();

  constructor(
    readonly shard: Shard,
    readonly context: SchedulingContext,
  ) {
    const usage = usageOf(shard);
    this.usage = new Map(
      [...usage.byTeam].map(([team, { cpus, gpus, memoryGb }]) => [team, { cpus, gpus, memoryGb }]),
    );
    this.unattributedUsage = usage.unattributed;
    for (const allocation of shard.stopping) if (allocation.spec) this.addStoppingUsage(allocation.spec);
  }

  /**
   * Returns how long the job has waited without any start, in milliseconds; 0 if one of its tasks has
   * started.
   */
  waitedWithoutStartMs(job: ShardJob): number {
    const hasStarted =
      !job.record.done.isEmpty || !job.finished.isEmpty || this.shard.allocationsByJob.has(job.id);
    return hasStarted ? 0 : this.context.now - job.acceptedAt;
  }

  /**
   * Returns the free resources of the machine after the decisions so far; null if nothing may start there.
   */
  freeResourcesOn(machine: Machine): MutableResources | null {
    const known = this.freeResources.get(machine.id);
    if (known) return known;
    if (!isSchedulable(machine, this.context)) return null;
    const free = freeResources(machine, this.context.types.get(machine.type));
    this.freeResources.set(machine.id, free);
    return free;
  }

  /**
   * Returns the resources of the machine that will be free once the tasks that this cycle stops there have
   * ended; null if nothing may start there.
   */
  freeAfterStopsOn(machine: Machine): MutableResources | null {
    const known = this.freeAfterStops.get(machine.id);
    if (known) return known;
    const free = this.freeResourcesOn(machine);
    if (!free) return null;
    const freeAfterStops = { ...free };
    this.freeAfterStops.set(machine.id, freeAfterStops);
    return freeAfterStops;
  }

  /** Returns the usage of the team on this shard, including the decisions of this cycle. */
  teamUsage(team: TeamId): Resources {
    return this.usage.get(team) ?? ZERO;
  }

  /**
   * Returns the usage of the team's services on this shard, without tasks that are being stopped. Computed at
   * the first call.
   */
  servicesUsage(team: TeamId): Resources {
    this.usageByServices ??= usageOfServices(this.shard);
    return this.usageByServices.get(team) ?? ZERO;
  }

  /** Resets the team's usage to an earlier value. */
  restoreTeamUsage(team: TeamId, usage: Resources): void {
    this.usage.set(team, usage);
  }

  /** Adds the amount to the team's usage on this shard. */
  addTeamUsage(team: TeamId, amount: Resources): void {
    this.usage.set(team, add(this.teamUsage(team), amount));
  }

  /** Adds one task of the job to the usage of its team on this shard. */
  addTaskUsage(spec: JobSpec): void {
    this.addTeamUsage(spec.team, spec);
  }

  /** Returns the usage of the team on all shards, without the tasks that are being stopped on this shard. */
  usageAfterStops(team: TeamId): Resources {
    return add(
      subtract(this.teamUsage(team), this.stoppingUsage(team)),
      this.context.usageOnOtherShards(team),
    );
  }

  /**
   * Returns the largest possible usage of the team on this shard with one more task of the job. Tasks whose
   * team is not known count towards every team.
   */
  usageWithTask(spec: JobSpec): Resources {
    return add(add(this.teamUsage(spec.team), this.unattributedUsage), spec);
  }

  /** Returns true if one more task of the job stays within the team's quota on this shard. */
  fitsShardQuota(spec: JobSpec): boolean {
    return fits(this.usageWithTask(spec), this.context.shardQuota(spec.team));
  }

  /** Returns the usage of the team's tasks that are being stopped. */
  stoppingUsage(team: TeamId): Resources {
    return this.usageBeingStopped.get(team) ?? ZERO;
  }

  /**
   * Records that a task is being stopped. It no longer counts towards the guaranteed quota, but it counts
   * towards the quota until a heartbeat shows that it is gone.
   */
  addStoppingUsage(spec: JobSpec): void {
    this.usageBeingStopped.set(spec.team, add(this.stoppingUsage(spec.team), spec));
  }

  /** Saves free resources, usage, stops and reservations; the returned function restores them. */
  savepoint(): () => void {
    const freeResourcesBefore = copyFreeResources(this.freeResources);
    const freeAfterStopsBefore = copyFreeResources(this.freeAfterStops);
    const usageBefore = new Map(this.usage);
    const stoppingUsageBefore = new Map(this.usageBeingStopped);
    const stoppingBefore = new Set(this.stopping);
    const { stops, reservations } = this.plan;
    const stopsBefore = stops.length;
    const reservationsBefore = reservations.length;
    return () => {
      restoreFreeResources(this.freeResources, freeResourcesBefore);
      restoreFreeResources(this.freeAfterStops, freeAfterStopsBefore);
      replaceEntries(this.usage, usageBefore);
      replaceEntries(this.usageBeingStopped, stoppingUsageBefore);
      this.stopping.clear();
      for (const allocation of stoppingBefore) this.stopping.add(allocation);
      stops.length = stopsBefore;
      reservations.length = reservationsBefore;
    };
  }
}

/** Sums up the usage of services by team, in one pass over the jobs with tasks on machines. */
function usageOfServices(shard: Shard): Map<TeamId, Resources> {
  const usage = new Map<TeamId, Resources>();
  for (const [id, allocations] of shard.allocationsByJob) {
    const spec = shard.jobs.get(id)?.spec;
    if (spec?.kind !== 'service') continue;
    const notStopping = [...allocations].filter((allocation) => !allocation.stop).length;
    usage.set(spec.team, add(usage.get(spec.team) ?? ZERO, scale(spec, notStopping)));
  }
  return usage;
}

type FreeResourcesByMachine = Map<MachineId, MutableResources>;

const copyFreeResources = (freeResourcesByMachine: FreeResourcesByMachine): FreeResourcesByMachine =>
  new Map([...freeResourcesByMachine].map(([id, free]) => [id, { ...free }]));

/** Restores the entries in place, since searches of this cycle keep references to them. */
function restoreFreeResources(current: FreeResourcesByMachine, saved: FreeResourcesByMachine): void {
  for (const [id, free] of current) {
    const before = saved.get(id);
    if (before) Object.assign(free, before);
    else current.delete(id);
  }
}

function replaceEntries<K, V>(map: Map<K, V>, saved: ReadonlyMap<K, V>): void {
  map.clear();
  for (const [key, value] of saved) map.set(key, value);
}
