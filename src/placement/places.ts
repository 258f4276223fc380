/** Where tasks of one job may start, best first. Pure: it reads the part and the room that a round has left. */
import type { MachineType } from '../cloud/wire.js';
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
import { scratchRoom, type PlanContext, type Scratch } from './round.js';

export function compareKeys(a: readonly number[], b: readonly number[]): number {
  for (let i = 0; i < a.length; i += 1) {
    const d = (a[i] as number) - (b[i] as number);
    if (d !== 0) return d;
  }
  return 0;
}

interface Place {
  readonly machine: Machine;
  readonly room: Resources;
  readonly key: readonly number[];
}

/** Steps in which replicas fill a machine: up to a half first, so that lesser work beside them can make way. */
const CROWD_STEPS = 2;
const JUST_COME = 4000;

/**
 * The machine that holds the image, then one that is fetching it, else most free room. Found and ordered once for
 * all tasks of the job in a round.
 */
export class Places {
  /** Places of the same kind together, the best kind first. */
  private groups: Place[][] | null = null;
  private at = 0;

  constructor(
    private readonly part: Shard,
    private readonly job: ShardJob,
    private readonly types: ReadonlyMap<InstanceTypeId, MachineType>,
    /** What the round has left on a machine; null: nothing of the job may start there. */
    private readonly roomOf: (m: Machine) => Resources | null,
    private readonly now: SteadyMs,
  ) {}

  /** `first`: the machine that is kept for this task, if it has room by now. */
  next(first?: Machine): Machine | null {
    const { job } = this;
    if (first) {
      const room = this.roomOf(first);
      if (room && fits(job.spec, room)) return first;
    }
    this.groups ??= grouped(this.find());
    // Batch work fills the best machine before the next; replicas take turns among machines of the best kind.
    const fill = job.spec.kind === 'array';
    for (let group = this.groups[0]; group; this.groups.shift(), group = this.groups[0], this.at = 0) {
      for (let tried = 0; tried < group.length; tried += 1) {
        const place = group[this.at % group.length] as Place;
        const { machine, room } = place;
        const crowded = isCrowded(machine, room, job.spec, this.types.get(machine.type), this.now);
        const fitting = !crowded && fits(job.spec, room);
        if (!fill || !fitting) this.at += 1;
        if (fitting) return place.machine;
      }
    }
    return null;
  }

  private find(): Place[] {
    const { part: shard, job } = this;
    const out: Place[] = [];
    for (const machine of shard.totals.machinesWithFree(job.spec, this.types)) {
      const room = this.roomOf(machine);
      if (room && fits(job.spec, room)) out.push({ machine, room, key: this.keyOf(machine, room) });
    }
    return out.sort((a, b) => compareKeys(a.key, b.key));
  }

  /** The first two say of what kind the place is. */
  private keyOf(m: Machine, room: Resources): readonly number[] {
    const { spec } = this.job;
    // A machine on which the job failed is the last choice for it.
    const failed = this.job.failedMachines.has(m.id) ? 1 : 0;
    const holder = m.images.has(spec.image);
    const capacity = this.types.get(m.type) ?? ZERO;
    const crowd = spec.kind === 'service' ? crowding(m, room, spec, capacity) : 0;
    // Only a fetch that another machine would need too: replicas rather bring the image to one more machine.
    const coming = !holder && m.requiredImages.has(spec.image) && crowd < CROWD_STEPS;
    // Among holders batch work fills the fullest machine first: idle ones can be returned, and large gaps stay.
    const pack = (holder || coming) && spec.kind === 'array';
    // What would lose its work with a machine that may be taken goes to one that may not, while there is room.
    const risky = m.spot && spec.checkpointIntervalS === 0 ? 1 : 0;
    // Replicas stay together: machines without any come free when batch work ends, and are returned.
    const lonely = spec.kind === 'service' && isZero(criticalOn(m)) ? 1 : 0;
    const free = freeAsCpus(room, capacity, spec);
    const order = pack ? free : -(free + free / Math.max(1, capacity.cpus));
    return [failed, holder ? 0 : coming ? 1 : 2, risky, crowd, lonely, order];
  }
}

/** Where tasks of a job that are pinned to this zone may start in a round. */
export function placesFor(
  shard: Shard,
  job: ShardJob,
  pin: ZoneId | null,
  s: Scratch,
  ctx: PlanContext,
  mayTake: (m: Machine) => boolean = () => true,
): Places {
  const roomOf = (m: Machine): Resources | null =>
    mayRunOn(job.spec, m.type, m.zone, m.spot, pin) && mayTake(m) ? scratchRoom(m, s, ctx) : null;
  return new Places(shard, job, ctx.types, roomOf, ctx.now);
}

const criticalOn = (m: Machine): Resources => subtract(m.used, m.preemptible);

/** In steps: what replicas would take of the machine, those of this round included, who are placed before others. */
function crowding(m: Machine, room: Resources, spec: JobSpec, capacity: Resources): number {
  const taken = add(subtract(subtract(capacity, m.preemptible), room), spec);
  return Math.ceil(CROWD_STEPS * dominantShare(taken, capacity) - TOLERANCE);
}

/**
 * Would a replica take more than its half of a machine that has just come and must fetch its image? Machines come one
 * by one at a start: the first would be filled with replicas alone, and nothing lesser could make way there later.
 */
export function isCrowded(
  m: Machine,
  room: Resources,
  spec: JobSpec,
  type: MachineType | undefined,
  now: SteadyMs,
): boolean {
  if (spec.kind !== 'service' || now - m.addedAt > JUST_COME || m.images.has(spec.image)) return false;
  return crowding(m, room, spec, type ?? ZERO) >= CROWD_STEPS;
}

function grouped(places: readonly Place[]): Place[][] {
  const out: Place[][] = [];
  let last: Place | null = null;
  for (const place of places) {
    if (last?.key[0] === place.key[0] && last?.key[1] === place.key[1]) out.at(-1)?.push(place);
    else out.push([place]);
    last = place;
  }
  return out;
}
