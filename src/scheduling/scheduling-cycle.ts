/**
 * The state of one scheduling cycle of a shard: free resources and quota as the decisions so far leave them, and the
 * plan that they make up. The stages of a cycle share it; nothing of it outlives the cycle.
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
import { KeptMachines } from './kept-machines.js';
import { newPlan, type SchedulingContext, type SchedulingPlan } from './cycle.js';
import { isSchedulable } from '../shards/machine-health.js';

/** Takes the resources of one task off what is free; nothing happens where nothing is known to be free. */
export function takeResources(free: MutableResources | null | undefined, spec: JobSpec): void {
  if (free) addTo(free, spec, -1);
}

/** Adds the resources of one task to what is free. */
export function returnResources(free: MutableResources | null | undefined, spec: JobSpec): void {
  if (free) addTo(free, spec, 1);
}

/** One cycle of one shard. */
export class SchedulingCycle {
  readonly plan: SchedulingPlan = newPlan();
  /** Free for starts of this cycle, on machines that were looked at. */
  readonly freeResources = new Map<MachineId, MutableResources>();
  /** Free once the tasks are gone that this cycle stops there: for reservations, not for starts. */
  readonly freeAfterStops = new Map<MachineId, MutableResources>();
  /** Tasks that this cycle stops. */
  readonly stopping = new Set<Allocation>();
  /** Searches for tasks to preempt; limited for each cycle. */
  preemptionSearches = 0;
  /** Machines that earlier cycles have reserved without preemption. */
  reservedMachines = 0;
  readonly keptMachines = new KeptMachines();
  private readonly usage: Map<TeamId, Resources>;
  /** Used by tasks whose team is not known. */
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

  /** How long the job has waited without any start, in milliseconds; 0: a task of it has started. */
  waitedWithoutStartMs(job: ShardJob): number {
    const hasStarted =
      !job.record.done.isEmpty || !job.finished.isEmpty || this.shard.allocationsByJob.has(job.id);
    return hasStarted ? 0 : this.context.now - job.acceptedAt;
  }

  /** Free on the machine as this cycle leaves it; null: nothing may start there. */
  freeResourcesOn(machine: Machine): MutableResources | null {
    const known = this.freeResources.get(machine.id);
    if (known) return known;
    if (!isSchedulable(machine, this.context)) return null;
    const free = freeResources(machine, this.context.types.get(machine.type));
    this.freeResources.set(machine.id, free);
    return free;
  }

  /** Free on the machine once the tasks are gone that this cycle stops there; null: nothing may start there. */
  freeAfterStopsOn(machine: Machine): MutableResources | null {
    const known = this.freeAfterStops.get(machine.id);
    if (known) return known;
    const free = this.freeResourcesOn(machine);
    if (!free) return null;
    const freeAfterStops = { ...free };
    this.freeAfterStops.set(machine.id, freeAfterStops);
    return freeAfterStops;
  }

  /** What the team uses on this shard, starts of this cycle included. */
  teamUsage(team: TeamId): Resources {
    return this.usage.get(team) ?? ZERO;
  }

  /** What services of the team use on this shard, those being stopped left out. Counted on the first question. */
  servicesUsage(team: TeamId): Resources {
    this.usageByServices ??= usageOfServices(this.shard);
    return this.usageByServices.get(team) ?? ZERO;
  }

  /** Sets the team's usage back to an earlier value. */
  restoreTeamUsage(team: TeamId, usage: Resources): void {
    this.usage.set(team, usage);
  }

  /** Counts the amount as used by the team on this shard. */
  addTeamUsage(team: TeamId, amount: Resources): void {
    this.usage.set(team, add(this.teamUsage(team), amount));
  }

  /** Counts one task of the job as used. */
  addTaskUsage(spec: JobSpec): void {
    this.addTeamUsage(spec.team, spec);
  }

  /** What the team uses on all shards, less what is being stopped here. */
  usageAfterStops(team: TeamId): Resources {
    return add(
      subtract(this.teamUsage(team), this.stoppingUsage(team)),
      this.context.usageOnOtherShards(team),
    );
  }

  /** What the team may be using on this shard with one more task of the job. */
  usageWithTask(spec: JobSpec): Resources {
    return add(add(this.teamUsage(spec.team), this.unattributedUsage), spec);
  }

  /** Would one more task of the job stay within the team's quota on this shard? */
  fitsShardQuota(spec: JobSpec): boolean {
    return fits(this.usageWithTask(spec), this.context.shardQuota(spec.team));
  }

  /** What the team's tasks use that are being stopped. */
  stoppingUsage(team: TeamId): Resources {
    return this.usageBeingStopped.get(team) ?? ZERO;
  }

  /** A task told to stop counts no longer towards the guaranteed quota, but towards the quota until it is seen gone. */
  addStoppingUsage(spec: JobSpec): void {
    this.usageBeingStopped.set(spec.team, add(this.stoppingUsage(spec.team), spec));
  }

  /** Remembers the cycle as it stands; the returned function takes back everything decided since. */
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

/** One pass over the jobs with tasks on machines. */
function usageOfServices(shard: Shard): Map<TeamId, Resources> {
  const usage = new Map<TeamId, Resources>();
  for (const [id, allocations] of shard.allocationsByJob) {
    const spec = shard.jobs.get(id)?.spec;
    if (spec?.kind !== 'service') continue;
    const running = [...allocations].filter((allocation) => !allocation.stop).length;
    usage.set(spec.team, add(usage.get(spec.team) ?? ZERO, scale(spec, running)));
  }
  return usage;
}

type FreeResourcesByMachine = Map<MachineId, MutableResources>;

const copyFreeResources = (freeResourcesByMachine: FreeResourcesByMachine): FreeResourcesByMachine =>
  new Map([...freeResourcesByMachine].map(([id, free]) => [id, { ...free }]));

/** In place: searches of this cycle keep references to the entries. */
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
