/** The controllers' messages to each other: what is free, what runs, who asks for a share of a limit. */
import * as v from 'valibot';
import type { Core } from '../core.js';
import { liveKey } from '../jobs/record.js';
import { add, addTo, ZERO, type MutableResources, type Resources } from '../model/resources.js';
import { roomOn, waitingByZone, type Machine, type Part } from '../parts/model.js';
import { usable } from '../placement/round.js';
import type {
  ImageId,
  Incarnation,
  JobId,
  MachineId,
  NodeId,
  PartId,
  Revision,
  TeamId,
  TypeId,
  ZoneId,
} from '../units.js';
import { plus } from '../units.js';
import { machineRequest, type MachineRequest } from './machine-request.js';
import { reserve, type FreeMachine, type Offer } from './willing.js';

/** Machines whose images one announcement tells. */
const HINTS = 12;

const amounts = v.record(v.string(), v.number());
/** What earlier versions, which know of CPUs only, do not read: GPUs and GB of memory. */
const besides = v.record(v.string(), v.tuple([v.number(), v.number()]));
const news = v.object({
  kind: v.literal('news'),
  node: v.string(),
  incarnation: v.string(),
  stateOk: v.boolean(),
  use: v.object({ requests: v.number(), writes: v.number() }),
  running: amounts,
  strays: amounts,
  rented: amounts,
  parts: v.array(
    v.object({
      part: v.number(),
      // By shape of free room, and how many machines have it.
      machines: v.array(
        v.tuple([v.string(), v.string(), v.boolean(), v.number(), v.number(), v.number(), v.number()]),
      ),
      used: amounts,
      spare: amounts,
      images: v.record(v.string(), v.array(v.tuple([v.string(), v.number()]))),
      ready: amounts,
      // By team, team and image, as the CPUs of the same names above.
      besides: v.optional(v.object({ used: besides, spare: besides, ready: besides }), {
        used: {},
        spare: {},
        ready: {},
      }),
    }),
  ),
});
const ask = v.object({
  kind: v.literal('ask'),
  from: v.number(),
  to: v.number(),
  team: v.string(),
  cpus: v.number(),
  gpus: v.number(),
  memoryGb: v.optional(v.number(), 0),
  purpose: v.optional(v.picklist(['waiting', 'gather', 'remainder']), 'waiting'),
});
const cancelled = v.object({ kind: v.literal('cancelled'), job: v.string(), version: v.number() });
const message = v.variant('kind', [news, ask, cancelled, machineRequest]);

export type News = v.InferOutput<typeof news>;
/**
 * `waiting`: for tasks that wait; the giver keeps what its own need. `gather`: for a task that has waited too long; it
 * keeps nothing for its own. `remainder`: for one task, from what the giver can start nothing with.
 */
export type AskPurpose = 'waiting' | 'gather' | 'remainder';

export interface Ask extends Resources {
  readonly kind: 'ask';
  readonly from: PartId;
  readonly to: PartId;
  readonly team: TeamId;
  readonly purpose: AskPurpose;
}

/** A cancellation that its sender has seen committed, at this revision. */
export interface CancelledNotice {
  readonly kind: 'cancelled';
  readonly job: JobId;
  readonly version: Revision;
}

const shapeOf = (m: Machine, r: Resources): string =>
  `${m.type}/${m.zone}/${m.spot}/${r.cpus.toFixed(2)}/${r.gpus.toFixed(2)}/${r.memoryGb.toFixed(2)}`;

/** What one of our parts has free right now, less what its own queue is about to take. */
export function offerOf(core: Core, part: Part): Offer {
  const now = core.clock.now();
  const ctx = { now, reportMs: core.reportMs };
  const shapes = new Map<string, FreeMachine>();
  for (const m of part.sums.notFull()) {
    if (!usable(m, ctx)) continue;
    const room = roomOn(m, core.types.get(m.type));
    const key = shapeOf(m, room);
    const known = shapes.get(key);
    if (known) known.count += 1;
    else shapes.set(key, { type: m.type, zone: m.zone, spot: m.spot, ...room, count: 1 });
  }
  const offer: Offer = {
    part: part.id,
    zone: zoneOfPart(core, part.id),
    expires: plus(now, core.tuning.announceExpiry),
    machines: [...shapes.values()],
  };
  // What waits for its team's limit takes no room: others may have it meanwhile.
  // Neither does a job in its back-off, nor a task in a zone other than its own.
  for (const job of part.queue) {
    if (part.limited.has(job.spec.team) || now < job.notBefore) continue;
    for (const [zone, count] of waitingByZone(job)) reserve(offer, job.spec, zone, count);
  }
  return offer;
}

/** What critical work could have at once on machines with the image, lesser work making room. */
export function readyImages(core: Core, part: Part): Map<ImageId, Resources> {
  const out = new Map<ImageId, Resources>();
  const ctx = { now: core.clock.now(), reportMs: core.reportMs };
  for (const [image, holders] of part.sums.images()) {
    const ready: MutableResources = { ...ZERO };
    for (const m of holders) {
      if (!m.spot && usable(m, ctx)) addTo(ready, add(roomOn(m, core.types.get(m.type)), m.lesser));
    }
    if (ready.cpus > 0) out.set(image, ready);
  }
  return out;
}

/** Our own parts as peers will see them, and as new jobs are placed by. */
export function refreshOffers(core: Core): void {
  for (const part of core.parts.values()) {
    core.offers.set(part.id, offerOf(core, part));
    core.ready.set(part.id, readyImages(core, part));
  }
}

/** Which machine holds what, for whoever takes the part over: what is new, and the rest by turns. */
function imageHints(part: Part): Record<string, [string, number][]> {
  const out: Record<string, [string, number][]> = {};
  for (const m of part.imageTurns(HINTS)) out[m.id] = [...m.images];
  return out;
}

export const zoneOfPart = (core: Core, part: PartId): ZoneId =>
  core.settings.parts.find((p) => p.part === part)?.zone ?? core.settings.zone;

const cpusOf = (amounts: ReadonlyMap<string, Resources>): Record<string, number> =>
  Object.fromEntries([...amounts].map(([key, amount]) => [key, amount.cpus]));

type Besides = v.InferOutput<typeof besides>;
const besidesOf = (amounts: ReadonlyMap<string, Resources>): Besides =>
  Object.fromEntries([...amounts].map(([key, { gpus, memoryGb }]) => [key, [gpus, memoryGb]]));

function joined<K extends string>(cpus: Record<string, number>, besides: Besides): Map<K, Resources> {
  const join = ([key, cpus]: [string, number]): [K, Resources] => {
    const [gpus, memoryGb] = besides[key] ?? [0, 0];
    return [key as K, { cpus, gpus, memoryGb }];
  };
  return new Map(Object.entries(cpus).map(join));
}

function offered(core: Core, part: Part): News['parts'][number]['machines'] {
  const machines = (core.offers.get(part.id) ?? offerOf(core, part)).machines.filter((m) => m.count > 0);
  return machines.map((m) => [m.type, m.zone, m.spot, m.cpus, m.gpus, m.memoryGb, m.count]);
}

export function composeNews(
  core: Core,
  spareOf: (part: Part) => Map<TeamId, Resources>,
  strays: ReadonlyMap<PartId, number>,
): News {
  const running = new Map<string, number>();
  for (const part of core.parts.values()) {
    for (const [job, bindings] of part.boundOf) {
      let n = running.get(job) ?? 0;
      for (const b of bindings) if (b.phase === 'running') n += 1;
      if (n > 0) running.set(job, n);
    }
  }
  return {
    kind: 'news',
    node: core.settings.node,
    incarnation: core.incarnation,
    stateOk: core.stateHealthy(),
    use: core.state.use,
    running: Object.fromEntries(running),
    strays: Object.fromEntries([...strays].map(([p, n]) => [String(p), n])),
    rented: Object.fromEntries(core.rentedHere),
    parts: [...core.parts.values()].map((part) => partNews(core, part, spareOf(part))),
  };
}

function partNews(core: Core, part: Part, spare: Map<TeamId, Resources>): News['parts'][number] {
  const used = part.sums.teams;
  const ready = core.ready.get(part.id) ?? new Map<ImageId, Resources>();
  return {
    part: part.id,
    machines: offered(core, part),
    used: cpusOf(used),
    spare: cpusOf(spare),
    ready: cpusOf(ready),
    besides: { used: besidesOf(used), spare: besidesOf(spare), ready: besidesOf(ready) },
    images: imageHints(part),
  };
}

const toMap = <K extends string>(record: Record<string, number>): Map<K, number> =>
  new Map(Object.entries(record)) as Map<K, number>;

function learnNews(core: Core, n: News): void {
  const now = core.clock.now();
  core.peers.set(n.node as NodeId, {
    heard: now,
    incarnation: n.incarnation as Incarnation,
    stateOk: n.stateOk,
    use: n.use,
    running: toMap<JobId>(n.running),
    strays: new Map(Object.entries(n.strays).map(([p, c]) => [Number(p) as PartId, c])),
  });
  for (const [m, p] of Object.entries(n.rented)) core.rentedFor.set(m as MachineId, p as PartId);
  const expires = plus(now, core.tuning.announceExpiry);
  for (const p of n.parts) {
    const part = p.part as PartId;
    // Both of us may believe that we own it for a moment: our own knowledge is the better one.
    if (core.parts.has(part)) continue;
    for (const [m, images] of Object.entries(p.images))
      core.imageHints.set(m as MachineId, images as [ImageId, number][]);
    core.ready.set(part, joined<ImageId>(p.ready, p.besides.ready));
    const used = joined<TeamId>(p.used, p.besides.used);
    core.partNews.set(part, { expires, used, spare: joined<TeamId>(p.spare, p.besides.spare) });
    const machines = p.machines.map(([type, zone, spot, cpus, gpus, memoryGb, count]) => ({
      type: type as TypeId,
      zone: zone as ZoneId,
      spot,
      cpus,
      gpus,
      memoryGb,
      count,
    }));
    core.offers.set(part, { part, zone: zoneOfPart(core, part), expires, machines });
  }
}

/**
 * Takes in a committed cancellation without waiting for the watch: the peer may be served by the state service while we
 * are not. It is learned like the answer to a write of our own; a late copy is older than the view and changes nothing.
 */
function learnCancellation(core: Core, { job, version }: CancelledNotice): void {
  void core.exclusive(() => core.view.learn(liveKey(job), undefined, version));
}

/** A peer's message; a request for a share of a limit, or for machines, is returned to the caller. */
export function receive(core: Core, raw: unknown): Ask | MachineRequest | null {
  const result = v.safeParse(message, raw);
  if (!result.success) return null;
  if (result.output.kind === 'news') {
    learnNews(core, result.output);
    return null;
  }
  if (result.output.kind === 'cancelled') {
    learnCancellation(core, result.output as CancelledNotice);
    return null;
  }
  return result.output as unknown as Ask | MachineRequest;
}
