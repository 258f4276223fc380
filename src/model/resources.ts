/**
 * What a machine has and a task takes: CPUs, GPUs and memory in one vector, with its arithmetic. Decisions that need a
 * single number go by the dominant resource: the one of which the largest share of a machine is taken.
 */

/** An amount of each resource: a capacity, a need or what is free. CPUs may be fractions. */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  /** In GB. */
  readonly memoryGb: number;
}

/** A running sum of amounts. */
export type MutableResources = { -readonly [K in keyof Resources]: Resources[K] };

/** The resources, in the order in which ties between them are decided. */
export const RESOURCE_KINDS = ['cpus', 'gpus', 'memoryGb'] as const satisfies readonly (keyof Resources)[];
/** One of the resources. */
export type ResourceKind = (typeof RESOURCE_KINDS)[number];

/** Nothing of any resource. */
export const ZERO: Resources = Object.freeze({ cpus: 0, gpus: 0, memoryGb: 0 });
/** More of every resource than anything takes. */
export const UNLIMITED: Resources = Object.freeze({ cpus: Infinity, gpus: Infinity, memoryGb: Infinity });

/** Sums of fractions differ from their exact values by less than this. */
export const TOLERANCE = 1e-6;

/** A task that takes nothing of any resource fits this many times: a bound instead of infinity. */
const MAX_SLOTS = 1000;

/** An amount made resource by resource. */
export const mapResources = (amountOf: (kind: ResourceKind) => number): MutableResources => ({
  cpus: amountOf('cpus'),
  gpus: amountOf('gpus'),
  memoryGb: amountOf('memoryGb'),
});

/** The sum, as a new amount. */
export const add = (amount: Resources, other: Resources): MutableResources => ({
  cpus: amount.cpus + other.cpus,
  gpus: amount.gpus + other.gpus,
  memoryGb: amount.memoryGb + other.memoryGb,
});

/** The difference, as a new amount; it may be negative. */
export const subtract = (amount: Resources, other: Resources): MutableResources => ({
  cpus: amount.cpus - other.cpus,
  gpus: amount.gpus - other.gpus,
  memoryGb: amount.memoryGb - other.memoryGb,
});

/** A multiple, as a new amount. */
export const scale = (amount: Resources, factor: number): MutableResources => ({
  cpus: amount.cpus * factor,
  gpus: amount.gpus * factor,
  memoryGb: amount.memoryGb * factor,
});

/** Adds `count` times an amount to a running sum; a negative count takes it off. */
export function addTo(sum: MutableResources, amount: Resources, count = 1): void {
  sum.cpus += count * amount.cpus;
  sum.gpus += count * amount.gpus;
  sum.memoryGb += count * amount.memoryGb;
}

/** Sets a sum to exactly 0. To be called whenever nothing is left in it: the rounding of fractions must not add up. */
export function clear(sum: MutableResources): void {
  sum.cpus = 0;
  sum.gpus = 0;
  sum.memoryGb = 0;
}

/** Is the need met by what is free, up to the rounding of sums? */
export const fits = (need: Resources, free: Resources): boolean =>
  free.cpus + TOLERANCE >= need.cpus &&
  free.gpus + TOLERANCE >= need.gpus &&
  free.memoryGb + TOLERANCE >= need.memoryGb;

/** Is the amount at least as much as the other of every resource, exactly? */
export const covers = (amount: Resources, other: Resources): boolean =>
  amount.cpus >= other.cpus && amount.gpus >= other.gpus && amount.memoryGb >= other.memoryGb;

/** Is nothing of any resource left beyond what rounding may leave? */
export const isZero = (amount: Resources): boolean =>
  amount.cpus <= TOLERANCE && amount.gpus <= TOLERANCE && amount.memoryGb <= TOLERANCE;

/** How often the need goes into what is free, with its fraction: the scarcest resource decides. */
export function fittingRatio(free: Resources, need: Resources): number {
  let least = Infinity;
  for (const kind of RESOURCE_KINDS) {
    if (need[kind] > 0) least = Math.min(least, free[kind] / need[kind]);
  }
  return least;
}

/** How many tasks with this need fit into what is free. */
export function taskSlots(free: Resources, need: Resources): number {
  const slots = (available: number, needed: number): number =>
    needed > 0 ? Math.floor(available / needed + TOLERANCE) : MAX_SLOTS;
  return Math.min(
    slots(free.cpus, need.cpus),
    slots(free.gpus, need.gpus),
    slots(free.memoryGb, need.memoryGb),
  );
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

/** The amount as CPUs of such a machine: its dominant share of the machine's CPUs; where CPUs dominate, just these. */
export function asCpus(amount: Resources, capacity: Resources): number {
  let cpus = amount.cpus;
  if (capacity.gpus > 0) cpus = Math.max(cpus, (amount.gpus * capacity.cpus) / capacity.gpus);
  if (capacity.memoryGb > 0) cpus = Math.max(cpus, (amount.memoryGb * capacity.cpus) / capacity.memoryGb);
  return cpus;
}

/** What is free as CPUs of such a machine, limited by whichever needed resource runs out first. */
export function freeAsCpus(free: Resources, capacity: Resources, need: Resources): number {
  let cpus = free.cpus;
  for (const kind of RESOURCE_KINDS) {
    if (need[kind] <= 0 || capacity[kind] <= 0) continue;
    cpus = Math.min(cpus, (free[kind] * capacity.cpus) / capacity[kind]);
  }
  return cpus;
}

/** The size of a task as CPUs of the instance type that suits it best; its CPUs alone where it fits no type. */
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
