/** What to rent for tasks that found no room. Pure. */
import type { MachineType } from '../cloud/wire.js';
import type { JobSpec } from '../jobs/spec.js';
import { Priority } from '../jobs/spec.js';
import { addTo, fits, taskSlots, type MutableResources } from '../model/resources.js';
import { mayRunOn } from '../model/constraints.js';
import type { InstanceTypeId, ZoneId } from '../model/units.js';

export interface Demand {
  readonly spec: JobSpec;
  readonly pin: ZoneId | null;
  readonly count: number;
  readonly waitedMs: number;
}

export interface Kind {
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
}

export interface Wish extends Kind {
  readonly count: number;
}

export const kindKey = (k: Kind): string => `${k.type}/${k.zone}/${k.spot ? 'spot' : 'ordinary'}`;

export interface RentContext {
  readonly types: readonly MachineType[];
  readonly zones: readonly ZoneId[];
  readonly home: ZoneId;
  /** Machines on their way. */
  readonly pending: readonly Kind[];
  readonly blocked: (k: Kind) => boolean;
  /** Tasks running on the part now: some will be done before a new machine is up. */
  readonly runningTasks: number;
  readonly correction: (lane: string) => number;
}

/** Demand younger than this may still find a peer with room. */
const MIN_WAIT = 700;
/** The cloud takes no more in one request. */
const MAX_PER_KIND = 50;

const roomOfType = (t: MachineType): MutableResources => ({
  cpus: t.cpus,
  gpus: t.gpus,
  memoryGb: t.memoryGb,
});

interface Coming extends Kind {
  readonly room: MutableResources;
}

/** Puts tasks on machines that are coming anyway; returns how many are left. */
function fill(coming: Coming[], d: Demand, count: number): number {
  let left = count;
  for (const m of coming) {
    if (left <= 0) return 0;
    if (!mayRunOn(d.spec, m.type, m.zone, m.spot, d.pin) || !fits(d.spec, m.room)) continue;
    const n = Math.min(left, taskSlots(m.room, d.spec));
    addTo(m.room, d.spec, -n);
    left -= n;
  }
  return left;
}

/** Of the turnover: most of it goes to jobs that are yet to come, as a backlog shows that they do. */
const TURNOVER = 0.1;

/** Those whose turn comes on machines that we have before a new one is up need none. */
function afterTurnover(d: Demand, ctx: RentContext, running: number): number {
  if (d.spec.priority === Priority.critical) return d.count;
  const bootS = Math.min(...ctx.types.map((t) => t.bootS), 60);
  const runS = Math.max(5, d.spec.estimateS * ctx.correction(d.spec.jobClass));
  return d.count - Math.floor(running * Math.min(1, bootS / runS) * TURNOVER);
}

/** Cheapest room per task first; machines that take no more than is asked for before larger ones. */
function options(
  d: Demand,
  count: number,
  ctx: RentContext,
): { kind: Kind; type: MachineType; per: number }[] {
  const out: { kind: Kind; type: MachineType; per: number; cost: number }[] = [];
  for (const type of ctx.types) {
    const per = taskSlots(type, d.spec);
    if (per < 1) continue;
    for (const zone of type.zones) {
      for (const spot of d.spec.spot ? [true, false] : [false]) {
        const kind = { type: type.name, zone, spot };
        if (!mayRunOn(d.spec, type.name, zone, spot, d.pin) || ctx.blocked(kind)) continue;
        const price = spot ? type.spotPrice : type.price;
        const far = zone === ctx.home ? 1 : 1.02;
        out.push({ kind, type, per, cost: (price / Math.min(per, count)) * far });
      }
    }
  }
  return out.sort((a, b) => a.cost - b.cost);
}

export function planRentals(demands: readonly Demand[], ctx: RentContext): Wish[] {
  const byName = new Map(ctx.types.map((t) => [t.name, t] as const));
  const coming: Coming[] = ctx.pending.flatMap((k) => {
    const type = byName.get(k.type);
    return type ? [{ ...k, room: roomOfType(type) }] : [];
  });
  const wishes = new Map<string, Wish>();
  let running = ctx.runningTasks;
  for (const d of demands) {
    if (d.waitedMs < MIN_WAIT) continue;
    const open = afterTurnover(d, ctx, running);
    running = Math.max(0, running - d.count);
    let left = fill(coming, d, open);
    for (const o of options(d, Math.max(1, left), ctx)) {
      if (left <= 0) break;
      const before = wishes.get(kindKey(o.kind))?.count ?? 0;
      const count = Math.min(Math.ceil(left / o.per), MAX_PER_KIND - before);
      if (count <= 0) continue;
      wishes.set(kindKey(o.kind), { ...o.kind, count: before + count });
      const added: Coming[] = Array.from({ length: count }, () => ({ ...o.kind, room: roomOfType(o.type) }));
      left = fill(added, d, left);
      coming.push(...added);
    }
  }
  return [...wishes.values()];
}
