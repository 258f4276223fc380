/**
 * What a machine has and a task takes: CPUs, GPUs and memory in one vector, with its arithmetic. Decisions that need a
 * single number go by the dominant resource: the one of which the largest share of a machine is taken.
 */

export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  /** In GB. */
  readonly memoryGb: number;
}

/** A running sum. */
export type MutableResources = { -readonly [K in keyof Resources]: Resources[K] };

export const RESOURCE_KINDS = ['cpus', 'gpus', 'memoryGb'] as const satisfies readonly (keyof Resources)[];
export type ResourceKind = (typeof RESOURCE_KINDS)[number];

export const ZERO: Resources = Object.freeze({ cpus: 0, gpus: 0, memoryGb: 0 });
export const UNLIMITED: Resources = Object.freeze({ cpus: Infinity, gpus: Infinity, memoryGb: Infinity });

/** Sums of fractions differ from their exact values by less than this. */
export const TOLERANCE = 1e-6;

/** A task that takes nothing of any resource fits this many times: a bound instead of infinity. */
const MAX_SLOTS = 1000;

export const mapResources = (of: (kind: ResourceKind) => number): MutableResources => ({
  cpus: of('cpus'),
  gpus: of('gpus'),
  memoryGb: of('memoryGb'),
});

export const add = (a: Resources, b: Resources): MutableResources => ({
  cpus: a.cpus + b.cpus,
  gpus: a.gpus + b.gpus,
  memoryGb: a.memoryGb + b.memoryGb,
});

export const subtract = (a: Resources, b: Resources): MutableResources => ({
  cpus: a.cpus - b.cpus,
  gpus: a.gpus - b.gpus,
  memoryGb: a.memoryGb - b.memoryGb,
});

export const scale = (a: Resources, factor: number): MutableResources => ({
  cpus: a.cpus * factor,
  gpus: a.gpus * factor,
  memoryGb: a.memoryGb * factor,
});

/** Adds `count` times an amount to a running sum; a negative count takes it off. */
export function addTo(sum: MutableResources, amount: Resources, count = 1): void {
  sum.cpus += count * amount.cpus;
  sum.gpus += count * amount.gpus;
  sum.memoryGb += count * amount.memoryGb;
}

/** Each sum starts again at exactly 0 whenever nothing is left in it: fractions must not drift. */
export function clear(sum: MutableResources): void {
  sum.cpus = 0;
  sum.gpus = 0;
  sum.memoryGb = 0;
}

export const fits = (need: Resources, room: Resources): boolean =>
  room.cpus + TOLERANCE >= need.cpus &&
  room.gpus + TOLERANCE >= need.gpus &&
  room.memoryGb + TOLERANCE >= need.memoryGb;

/** At least as much of every resource, exactly. */
export const covers = (a: Resources, b: Resources): boolean =>
  a.cpus >= b.cpus && a.gpus >= b.gpus && a.memoryGb >= b.memoryGb;

/** Nothing of any resource is left beyond what rounding may leave. */
export const isZero = (a: Resources): boolean =>
  a.cpus <= TOLERANCE && a.gpus <= TOLERANCE && a.memoryGb <= TOLERANCE;

/** How often `need` goes into `room`, with its fraction: the scarcest resource decides. */
export function fittingRatio(room: Resources, need: Resources): number {
  let least = Infinity;
  for (const kind of RESOURCE_KINDS) {
    if (need[kind] > 0) least = Math.min(least, room[kind] / need[kind]);
  }
  return least;
}

/** How many tasks fit into the room. */
export function taskSlots(room: Resources, need: Resources): number {
  const by = (free: number, wants: number): number =>
    wants > 0 ? Math.floor(free / wants + TOLERANCE) : MAX_SLOTS;
  return Math.min(by(room.cpus, need.cpus), by(room.gpus, need.gpus), by(room.memoryGb, need.memoryGb));
}

/** The largest share of any resource of the capacity; what the capacity has nothing of is not counted. */
export function dominantShare(amount: Resources, capacity: Resources): number {
  let share = capacity.cpus > 0 ? amount.cpus / capacity.cpus : 0;
  if (capacity.gpus > 0) share = Math.max(share, amount.gpus / capacity.gpus);
  if (capacity.memoryGb > 0) share = Math.max(share, amount.memoryGb / capacity.memoryGb);
  return share;
}

/** The resource of which the amount takes the largest share; CPUs among equals. */
export function dominantKind(amount: Resources, capacity: Resources): ResourceKind {
  const share = (kind: ResourceKind): number => (capacity[kind] > 0 ? amount[kind] / capacity[kind] : 0);
  let dominant: ResourceKind = 'cpus';
  for (const kind of RESOURCE_KINDS) if (share(kind) > share(dominant)) dominant = kind;
  return dominant;
}

/** The amount as CPUs of such a machine: its dominant share of the machine's CPUs, and exactly its CPUs if they are it. */
export function asCpus(amount: Resources, capacity: Resources): number {
  let cpus = amount.cpus;
  if (capacity.gpus > 0) cpus = Math.max(cpus, (amount.gpus * capacity.cpus) / capacity.gpus);
  if (capacity.memoryGb > 0) cpus = Math.max(cpus, (amount.memoryGb * capacity.cpus) / capacity.memoryGb);
  return cpus;
}

/** Free room as CPUs of such a machine, limited by whichever needed resource runs out first. */
export function freeAsCpus(room: Resources, capacity: Resources, need: Resources): number {
  let free = room.cpus;
  for (const kind of RESOURCE_KINDS) {
    if (need[kind] <= 0 || capacity[kind] <= 0) continue;
    free = Math.min(free, (room[kind] * capacity.cpus) / capacity[kind]);
  }
  return free;
}

/** The size of a task as CPUs of the machine type that suits it best; its CPUs alone where it fits no type. */
export function sizeOf(need: Resources, types: Iterable<Resources>): number {
  let size = Infinity;
  for (const type of types) if (fits(need, type)) size = Math.min(size, asCpus(need, type));
  return size === Infinity ? need.cpus : size;
}

/** The most that any one of them has, resource by resource. */
export function largestOf(types: Iterable<Resources>): Resources {
  const most: MutableResources = { ...ZERO };
  for (const type of types) {
    for (const kind of RESOURCE_KINDS) most[kind] = Math.max(most[kind], type[kind]);
  }
  return most;
}
