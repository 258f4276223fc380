/** Where tasks of one job may start, best first. Pure: it reads the part and the room that a round has left. */
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
import { freeResourcesOn, type SchedulingContext, type CycleState } from './cycle.js';

export function compareLexicographically(first: readonly number[], second: readonly number[]): number {
  for (let i = 0; i < first.length; i += 1) {
    const difference = (first[i] as number) - (second[i] as number);
    if (difference !== 0) return difference;
  }
  return 0;
}

interface Candidate {
  readonly machine: Machine;
  readonly freeResources: Resources;
  readonly score: readonly number[];
}

/** Steps in which replicas fill a machine: up to a half first, so that lesser work beside them can make way. */
const CROWDING_STEPS = 2;
const NEW_MACHINE_MS = 4000;

/**
 * The machine that holds the image, then one that is fetching it, else most free room. Found and ordered once for
 * all tasks of the job in a round.
 */
export class CandidateMachines {
  /** Places of the same kind together, the best kind first. */
  private scoreGroups: Candidate[][] | null = null;
  private groupPosition = 0;

  constructor(
    private readonly shard: Shard,
    private readonly job: ShardJob,
    private readonly types: ReadonlyMap<InstanceTypeId, InstanceType>,
    /** What the round has left on a machine; null: nothing of the job may start there. */
    private readonly freeResourcesOn: (machine: Machine) => Resources | null,
    private readonly now: SteadyMs,
  ) {}

  /** `first`: the machine that is kept for this task, if it has room by now. */
  next(preferred?: Machine): Machine | null {
    const { job } = this;
    if (preferred) {
      const free = this.freeResourcesOn(preferred);
      if (free && fits(job.spec, free)) return preferred;
    }
    this.scoreGroups ??= groupByPreference(this.findCandidates());
    // Batch work fills the best machine before the next; replicas take turns among machines of the best kind.
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

  /** The first two say of what kind the place is. */
  private score(machine: Machine, free: Resources): readonly number[] {
    const { spec } = this.job;
    // A machine on which the job failed is the last choice for it.
    const failed = this.job.failedMachines.has(machine.id) ? 1 : 0;
    const hasImage = machine.images.has(spec.image);
    const capacity = this.types.get(machine.type) ?? ZERO;
    const crowding = spec.kind === 'service' ? replicaCrowding(machine, free, spec, capacity) : 0;
    // Only a fetch that another machine would need too: replicas rather bring the image to one more machine.
    const isFetchingImage = !hasImage && machine.requiredImages.has(spec.image) && crowding < CROWDING_STEPS;
    // Among holders batch work fills the fullest machine first: idle ones can be returned, and large gaps stay.
    const pack = (hasImage || isFetchingImage) && spec.kind === 'array';
    // What would lose its work with a machine that may be taken goes to one that may not, while there is room.
    const interruptionRisk = machine.spot && spec.checkpointIntervalS === 0 ? 1 : 0;
    // Replicas stay together: machines without any come free when batch work ends, and are returned.
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

/** Where tasks of a job that are pinned to this zone may start in a round. */
export function candidatesFor(
  shard: Shard,
  job: ShardJob,
  zone: ZoneId | null,
  state: CycleState,
  context: SchedulingContext,
  mayUse: (machine: Machine) => boolean = () => true,
): CandidateMachines {
  const freeOn = (machine: Machine): Resources | null =>
    mayRunOn(job.spec, machine.type, machine.zone, machine.spot, zone) && mayUse(machine)
      ? freeResourcesOn(machine, state, context)
      : null;
  return new CandidateMachines(shard, job, context.types, freeOn, context.now);
}

const criticalUsage = (machine: Machine): Resources => subtract(machine.used, machine.preemptible);

/** In steps: what replicas would take of the machine, those of this round included, who are placed before others. */
function replicaCrowding(machine: Machine, free: Resources, spec: JobSpec, capacity: Resources): number {
  const usedByReplicas = add(subtract(subtract(capacity, machine.preemptible), free), spec);
  return Math.ceil(CROWDING_STEPS * dominantShare(usedByReplicas, capacity) - TOLERANCE);
}

/**
 * Would a replica take more than its half of a machine that has just come and must fetch its image? Machines come one
 * by one at a start: the first would be filled with replicas alone, and nothing lesser could make way there later.
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
