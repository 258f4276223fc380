/** Announcements of free room and the willing list made of them: nearest zone first, then most free room. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { JobSpec } from '../jobs/spec.js';
import { fits, scale, taskSlots, subtract } from '../model/resources.js';
import { mayRunOn } from '../model/constraints.js';
import type { FreeMachines } from '../peers/messages.js';
import type { ShardId, SteadyMs, ZoneId } from '../model/units.js';

export interface FreeCapacity {
  readonly part: ShardId;
  readonly zone: ZoneId;
  readonly expires: SteadyMs;
  /** Room left as far as we know: what we hand over is taken off until the next announcement. */
  readonly machines: FreeMachines[];
}

export type Random = (below: number) => number;

/** Seeded: the same run shuffles the same way. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return (below) => (below <= 1 ? 0 : uniformInt(generator, 0, below - 1));
}

const roomFor = (offer: FreeCapacity, spec: JobSpec, pin: ZoneId | null): FreeMachines[] =>
  offer.machines.filter((m) => m.count > 0 && fits(spec, m) && mayRunOn(spec, m.type, m.zone, m.spot, pin));

/** How many tasks like this fit into what is announced, by zone restriction. */
export function capacityFor(offer: FreeCapacity, spec: JobSpec, pin: ZoneId | null): number {
  let n = 0;
  for (const m of roomFor(offer, spec, pin)) n += m.count * taskSlots(m, spec);
  return n;
}

/** `machines` of a shape get `each` tasks: they have another shape from then on. */
function takeFrom(
  offer: FreeCapacity,
  shape: FreeMachines,
  spec: JobSpec,
  each: number,
  machines: number,
): void {
  if (machines === 0) return;
  shape.count -= machines;
  offer.machines.push({ ...shape, ...subtract(shape, scale(spec, each)), count: machines });
}

/** Takes room for `count` tasks off the offer, so that the next hand-over does not promise it again. */
export function reserve(offer: FreeCapacity, spec: JobSpec, pin: ZoneId | null, count: number): void {
  let left = count;
  for (const m of roomFor(offer, spec, pin)) {
    if (left <= 0) return;
    const each = taskSlots(m, spec);
    const full = Math.min(m.count, Math.floor(left / each));
    takeFrom(offer, m, spec, each, full);
    left -= full * each;
    if (left > 0 && m.count > 0) {
      takeFrom(offer, m, spec, left, 1);
      left = 0;
    }
  }
}

/** Unexpired offers with room for such a task: own zone first, then most free room; equals in random order. */
export function rankPeers(
  offers: Iterable<FreeCapacity>,
  from: ZoneId,
  spec: JobSpec,
  pin: ZoneId | null,
  now: SteadyMs,
  random: Random,
): { offer: FreeCapacity; capacity: number }[] {
  const open = [...offers]
    .filter((o) => o.expires > now)
    .map((offer) => ({ offer, capacity: capacityFor(offer, spec, pin), draw: random(1 << 20) }))
    .filter((o) => o.capacity > 0);
  const far = (o: FreeCapacity): number => (o.zone === from ? 0 : 1);
  return open.sort((a, b) => far(a.offer) - far(b.offer) || b.capacity - a.capacity || a.draw - b.draw);
}
