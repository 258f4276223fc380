/** The controllers' messages to each other: what is free, what runs, who asks for a share of a limit. */
import * as v from 'valibot';
import type { Core } from '../core.js';
import { Priority } from '../jobs/spec.js';
import { roomOn, usageOf, type Part } from '../parts/model.js';
import { usable } from '../placement/plan.js';
import type {
  ImageId,
  Incarnation,
  JobId,
  MachineId,
  NodeId,
  PartId,
  TeamId,
  TypeId,
  ZoneId,
} from '../units.js';
import { plus } from '../units.js';
import type { FreeMachine, Offer } from './willing.js';

const amounts = v.record(v.string(), v.number());
const news = v.object({
  kind: v.literal('news'),
  node: v.string(),
  incarnation: v.string(),
  stateOk: v.boolean(),
  running: amounts,
  strays: amounts,
  rented: amounts,
  parts: v.array(
    v.object({
      part: v.number(),
      machines: v.array(v.tuple([v.string(), v.string(), v.boolean(), v.number(), v.number(), v.number()])),
      used: amounts,
      spare: amounts,
      images: v.record(v.string(), v.array(v.string())),
      ready: amounts,
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
});
const message = v.variant('kind', [news, ask]);

export type News = v.InferOutput<typeof news>;
export interface Ask {
  readonly kind: 'ask';
  readonly from: PartId;
  readonly to: PartId;
  readonly team: TeamId;
  readonly cpus: number;
  readonly gpus: number;
}

/** What one of our parts has free right now. */
export function offerOf(core: Core, part: Part): Offer {
  const now = core.clock.now();
  const machines: FreeMachine[] = [];
  const ctx = { now, reportMs: core.reportMs };
  for (const m of part.machines.values()) {
    if (!usable(m, ctx)) continue;
    const room = roomOn(m, core.types.get(m.type));
    if (room.cpus > 0) machines.push({ type: m.type, zone: m.zone, spot: m.spot, ...room });
  }
  for (const job of part.jobs.values()) {
    const waiting = job.waiting.size;
    if (waiting > 0) takeOff(machines, job.spec, waiting);
  }
  return {
    part: part.id,
    zone: zoneOfPart(core, part.id),
    expires: plus(now, core.tuning.announceExpiry),
    machines,
  };
}

/** CPUs that critical work could have at once on machines with the image, lesser work making room. */
export function readyImages(core: Core, part: Part): Map<ImageId, number> {
  const out = new Map<ImageId, number>();
  const ctx = { now: core.clock.now(), reportMs: core.reportMs };
  for (const m of part.machines.values()) {
    if (m.spot || !usable(m, ctx)) continue;
    let cpus = roomOn(m, core.types.get(m.type)).cpus;
    for (const b of m.bindings.values())
      if (b.spec && b.spec.priority > Priority.critical) cpus += b.spec.cpus;
    for (const image of m.images.keys()) if (cpus > 0) out.set(image, (out.get(image) ?? 0) + cpus);
  }
  return out;
}

/** Room that our own queue is about to take is not offered. */
function takeOff(
  machines: FreeMachine[],
  spec: { cpus: number; gpus: number; memoryGb: number },
  count: number,
): void {
  let left = count;
  for (const m of machines) {
    while (
      left > 0 &&
      m.cpus >= spec.cpus &&
      m.memoryGb >= spec.memoryGb &&
      m.gpus >= spec.gpus &&
      spec.cpus > 0
    ) {
      m.cpus -= spec.cpus;
      m.gpus -= spec.gpus;
      m.memoryGb -= spec.memoryGb;
      left -= 1;
    }
  }
}

export const zoneOfPart = (core: Core, part: PartId): ZoneId =>
  core.settings.parts.find((p) => p.part === part)?.zone ?? core.settings.zone;

export function usedByTeam(core: Core, part: Part): Map<TeamId, number> {
  return new Map([...usageOf(part, core.types).teams].map(([t, u]) => [t, u.cpus]));
}

export function composeNews(
  core: Core,
  spare: (part: Part) => Map<TeamId, number>,
  strays: ReadonlyMap<PartId, number>,
): News {
  const running = new Map<string, number>();
  for (const part of core.parts.values()) {
    for (const b of part.bound.values())
      if (b.phase === 'running') running.set(b.job, (running.get(b.job) ?? 0) + 1);
  }
  return {
    kind: 'news',
    node: core.settings.node,
    incarnation: core.incarnation,
    stateOk: core.stateHealthy(),
    running: Object.fromEntries(running),
    strays: Object.fromEntries([...strays].map(([p, n]) => [String(p), n])),
    rented: Object.fromEntries(core.rentedFor),
    parts: [...core.parts.values()].map((part) => ({
      part: part.id,
      machines: offerOf(core, part).machines.map((m) => [m.type, m.zone, m.spot, m.cpus, m.gpus, m.memoryGb]),
      used: Object.fromEntries(usedByTeam(core, part)),
      spare: Object.fromEntries(spare(part)),
      ready: Object.fromEntries(readyImages(core, part)),
      images: Object.fromEntries([...part.machines.values()].map((m) => [m.id, [...m.images.keys()]])),
    })),
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
      core.imageHints.set(m as MachineId, images as ImageId[]);
    core.ready.set(part, toMap<ImageId>(p.ready));
    core.partNews.set(part, { expires, used: toMap<TeamId>(p.used), spare: toMap<TeamId>(p.spare) });
    const machines = p.machines.map(([type, zone, spot, cpus, gpus, memoryGb]) => ({
      type: type as TypeId,
      zone: zone as ZoneId,
      spot,
      cpus,
      gpus,
      memoryGb,
    }));
    core.offers.set(part, { part, zone: zoneOfPart(core, part), expires, machines });
  }
}

/** A peer's message; a request for a share of a limit is returned to the caller. */
export function receive(core: Core, raw: unknown): Ask | null {
  const result = v.safeParse(message, raw);
  if (!result.success) return null;
  if (result.output.kind === 'news') {
    learnNews(core, result.output);
    return null;
  }
  return result.output as unknown as Ask;
}
