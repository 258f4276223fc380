/**
 * Filters and scores the machines on which tasks of one job may start, best first. Pure: reads the shard and
 * the resources that the decisions of a scheduling cycle leave free.
 */
import type { InstanceType } from '../cloud/wire.js';
import type { JobSpec } from '../jobs/spec.js';
import {
  add,
  dominantShare,
  fits,
  freeCpuEquivalent,
  isZero,
  subtract,
  TOLERANCE,
  ZERO,
  type Resources,
} from '../model/resources.js';
import type { Machine, Shard, ShardJob } from '../shards/model.js';
import type { SteadyMs, InstanceTypeId, ZoneId } from '../model/units.js';
import { mayRunOn } from '../model/constraints.js';
import type { SchedulingCycle } from './scheduling-cycle.js';

/** Compares by the first numbers that differ; returns 0 if all are equal. */
export function compareLexicographically(first: readonly number[], second: readonly number[]): number {
  for (let position = 0; position < first.length; position += 1) {
    const difference = (first[position] as number) - (second[position] as number);
    if (difference !== 0) return difference;
  }
  return 0;
}

interface Candidate {
  readonly machine: Machine;
  readonly freeResources: Resources;
  readonly score: readonly number[];
}

/**
 * Number of steps in which replicas fill a machine: up to a half first, so that the other half is left to
 * preemptible tasks.
 */
const CROWDING_STEPS = 2;
/** How long after its registration a machine counts as new. */
const NEW_MACHINE_MS = 4000;

/**
 * The machines on which tasks of a job may start, found and sorted once for all tasks of the job in a cycle:
 * first the machines that hold the image, then those that are fetching it, then those with the most free
 * resources.
 */
export class CandidateMachines {
  /** Groups of candidates of equal preference, best first; null until they are needed. */
  private scoreGroups: Candidate[][] | null = null;
  private groupPosition = 0;

  constructor(
    private readonly shard: Shard,
    private readonly job: ShardJob,
    private readonly types: ReadonlyMap<InstanceTypeId, InstanceType>,
    /**
     * Returns the free resources of a machine after the decisions so far; null if no task of the job may
     * start there.
     */
    private readonly freeResourcesOn: (machine: Machine) => Resources | null,
    private readonly now: SteadyMs,
  ) {}

  /**
   * Returns a machine with enough free resources: `preferred` (the machine reserved for the task) if it has
   * enough by now, else the best candidate; null if there is none.
   */
  next(preferred?: Machine): Machine | null {
    const { job } = this;
    if (preferred) {
      const free = this.freeResourcesOn(preferred);
      if (free && fits(job.spec, free)) return preferred;
    }
    this.scoreGroups ??= groupByPreference(this.findCandidates());
    // Tasks of arrays fill the best machine before the next one; other tasks rotate among equally preferred
    // machines.
    const fillsMachines = job.spec.kind === 'array';
    for (
      let group = this.scoreGroups[0];
      group;
      this.scoreGroups.shift(), group = this.scoreGroups[0], this.groupPosition = 0
    ) {
      for (let tried = 0; tried < group.length; tried += 1) {
        const candidate = group[this.groupPosition % group.length] as Candidate;
        const { machine, freeResources: free } = candidate;
        const crowded = isCrowded(machine, free, job.spec, this.types.get(machine.type), this.now);
        const fitting = !crowded && fits(job.spec, free);
        if (!fillsMachines || !fitting) this.groupPosition += 1;
        if (fitting) return candidate.machine;
      }
    }
    return null;
  }

  private findCandidates(): Candidate[] {
    const { shard, job } = this;
    const candidates: Candidate[] = [];
    for (const machine of shard.totals.machinesWithFree(job.spec, this.types)) {
      const free = this.freeResourcesOn(machine);
      if (free && fits(job.spec, free))
        candidates.push({ machine, freeResources: free, score: this.score(machine, free) });
    }
    return candidates.sort((a, b) => compareLexicographically(a.score, b.score));
  }

  /**
   * Returns the sort key of a machine; smaller is better. Candidates that agree in the first two numbers are
   * of equal preference.
   */
  private score(machine: Machine, free: Resources): readonly number[] {
    const { spec } = this.job;
    // Machines on which a task of the job has failed are the last choice for the job.
    const failed = this.job.failedMachines.has(machine.id) ? 1 : 0;
    const hasImage = machine.images.has(spec.image);
    const capacity = this.types.get(machine.type) ?? ZERO;
    const crowding = spec.kind === 'service' ? replicaCrowding(machine, free, spec, capacity) : 0;
    // Replicas that would fill more than half of the machine fetch the image on another machine rather than
    // wait for this fetch.
    const isFetchingImage = !hasImage && machine.requiredImages.has(spec.image) && crowding < CROWDING_STEPS;
    // If the machine holds the image or is fetching it, array tasks fill the fullest machine first: idle
    // machines can be scaled in, and large tasks still find machines with many free resources.
    const packs = (hasImage || isFetchingImage) && spec.kind === 'array';
    // A task without checkpoints would lose its work if its spot machine were interrupted: on-demand machines
    // are preferred.
    const interruptionRisk = machine.spot && spec.checkpointIntervalS === 0 ? 1 : 0;
    // Machines that already run critical tasks are preferred for replicas: the others become idle when batch
    // work ends, and are scaled in.
    const withoutCriticalTasks = spec.kind === 'service' && isZero(criticalUsage(machine)) ? 1 : 0;
    const freeCpus = freeCpuEquivalent(free, capacity, spec);
    const packingOrder = packs ? freeCpus : -(freeCpus + freeCpus / Math.max(1, capacity.cpus));
    return [
      failed,
      hasImage ? 0 : isFetchingImage ? 1 : 2,
      interruptionRisk,
      crowding,
      withoutCriticalTasks,
      packingOrder,
    ];
  }
}

/** Machine filter that accepts every machine. */
export const anyMachine = (): boolean => true;

/**
 * Returns the candidates for those tasks of the job that must run in the zone; null stands for any zone.
 */
export function candidatesFor(
  cycle: SchedulingCycle,
  job: ShardJob,
  zone: ZoneId | null,
  mayUse: (machine: Machine) => boolean = anyMachine,
): CandidateMachines {
  const freeOn = (machine: Machine): Resources | null =>
    mayRunOn(job.spec, machine.type, machine.zone, machine.spot, zone) && mayUse(machine)
      ? cycle.freeResourcesOn(machine)
      : null;
  const { types, now } = cycle.context;
  return new CandidateMachines(cycle.shard, job, types, freeOn, now);
}

const criticalUsage = (machine: Machine): Resources => subtract(machine.used, machine.preemptible);

/**
 * Returns the share of the machine that its replicas would take with one replica more, in CROWDING_STEPS
 * steps, rounded up. All that this cycle has placed on the machine counts as replicas, since replicas are
 * placed before other tasks.
 */
function replicaCrowding(machine: Machine, free: Resources, spec: JobSpec, capacity: Resources): number {
  const usedByReplicas = add(subtract(subtract(capacity, machine.preemptible), free), spec);
  return Math.ceil(CROWDING_STEPS * dominantShare(usedByReplicas, capacity) - TOLERANCE);
}

/**
 * Returns true if a replica would take more than half of a new machine that does not hold its image yet. When
 * a cluster starts, its machines register one by one: without this limit the first would be filled with
 * replicas only, and nothing could be preempted there later.
 */
export function isCrowded(
  machine: Machine,
  free: Resources,
  spec: JobSpec,
  type: InstanceType | undefined,
  now: SteadyMs,
): boolean {
  if (spec.kind !== 'service' || now - machine.addedAt > NEW_MACHINE_MS || machine.images.has(spec.image))
    return false;
  return replicaCrowding(machine, free, spec, type ?? ZERO) >= CROWDING_STEPS;
}

function groupByPreference(candidates: readonly Candidate[]): Candidate[][] {
  const groups: Candidate[][] = [];
  let previous: Candidate | null = null;
  for (const candidate of candidates) {
    if (previous?.score[0] === candidate.score[0] && previous?.score[1] === candidate.score[1])
      groups.at(-1)?.push(candidate);
    else groups.push([candidate]);
    previous = candidate;
  }
  return groups;
}
