/**
 * Filters and scores the machines on which tasks of one job may start, best first. Pure: reads the shard and what a
 * scheduling cycle has left free.
 */
import type { InstanceType } from '../cloud/wire.js';
import type { JobSpec } from '../jobs/spec.js';
import {
  add,
  dominantShare,
  fits,
  freeAsCpus,
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

/** By the first numbers that differ; 0: all are equal. */
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

/** Steps in which replicas fill a machine: up to a half first, so that preemptible work has the rest. */
const CROWDING_STEPS = 2;
/** How long after its registration a machine counts as new. */
const NEW_MACHINE_MS = 4000;

/**
 * Machines that hold the image first, then those that are fetching it, then those with most free. Found and ordered
 * once for all tasks of the job in a cycle.
 */
export class CandidateMachines {
  /** Candidates of equal preference together, the best first. */
  private scoreGroups: Candidate[][] | null = null;
  private groupPosition = 0;

  constructor(
    private readonly shard: Shard,
    private readonly job: ShardJob,
    private readonly types: ReadonlyMap<InstanceTypeId, InstanceType>,
    /** Free on a machine as the cycle leaves it; null: no task of the job may start there. */
    private readonly freeResourcesOn: (machine: Machine) => Resources | null,
    private readonly now: SteadyMs,
  ) {}

  /** The best machine with enough free; `preferred`, the one reserved for this task, if it has enough by now. */
  next(preferred?: Machine): Machine | null {
    const { job } = this;
    if (preferred) {
      const free = this.freeResourcesOn(preferred);
      if (free && fits(job.spec, free)) return preferred;
    }
    this.scoreGroups ??= groupByPreference(this.findCandidates());
    // Batch work fills the best machine before the next; replicas take turns among equal machines.
    const fill = job.spec.kind === 'array';
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
        if (!fill || !fitting) this.groupPosition += 1;
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

  /** Smaller numbers are better. Candidates that agree in the first two are of equal preference. */
  private score(machine: Machine, free: Resources): readonly number[] {
    const { spec } = this.job;
    // A machine on which a task of the job has failed is its last choice.
    const failed = this.job.failedMachines.has(machine.id) ? 1 : 0;
    const hasImage = machine.images.has(spec.image);
    const capacity = this.types.get(machine.type) ?? ZERO;
    const crowding = spec.kind === 'service' ? replicaCrowding(machine, free, spec, capacity) : 0;
    // Replicas beyond half of a machine rather bring the image to one more machine than wait for this fetch.
    const isFetchingImage = !hasImage && machine.requiredImages.has(spec.image) && crowding < CROWDING_STEPS;
    // With the image at hand, batch work fills the fullest machine first: idle ones can be scaled in, and large tasks
    // still find machines with much free.
    const pack = (hasImage || isFetchingImage) && spec.kind === 'array';
    // A task without checkpoints would lose its work with an interrupted spot machine: on-demand machines come first.
    const interruptionRisk = machine.spot && spec.checkpointIntervalS === 0 ? 1 : 0;
    // Replicas stay together: machines without any become idle when batch work ends, and are scaled in.
    const withoutReplicas = spec.kind === 'service' && isZero(criticalUsage(machine)) ? 1 : 0;
    const freeCpus = freeAsCpus(free, capacity, spec);
    const packingOrder = pack ? freeCpus : -(freeCpus + freeCpus / Math.max(1, capacity.cpus));
    return [
      failed,
      hasImage ? 0 : isFetchingImage ? 1 : 2,
      interruptionRisk,
      crowding,
      withoutReplicas,
      packingOrder,
    ];
  }
}

/** No machine is left out. */
export const anyMachine = (): boolean => true;

/** Where tasks of a job that this zone is required for may start; null: any zone. */
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

/** In steps: how much of the machine replicas would take, with those of this cycle, which are placed before others. */
function replicaCrowding(machine: Machine, free: Resources, spec: JobSpec, capacity: Resources): number {
  const usedByReplicas = add(subtract(subtract(capacity, machine.preemptible), free), spec);
  return Math.ceil(CROWDING_STEPS * dominantShare(usedByReplicas, capacity) - TOLERANCE);
}

/**
 * Would a replica take more than half of a new machine that has yet to fetch its image? As a cluster starts, machines
 * come one by one: the first would be filled with replicas alone, and nothing could be preempted there later.
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
  let last: Candidate | null = null;
  for (const candidate of candidates) {
    if (last?.score[0] === candidate.score[0] && last?.score[1] === candidate.score[1])
      groups.at(-1)?.push(candidate);
    else groups.push([candidate]);
    last = candidate;
  }
  return groups;
}
