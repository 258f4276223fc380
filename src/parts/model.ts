/** What the owner of a part holds in memory: its machines, what is bound to them, and the tasks entrusted to it. */
import type { MachineType } from '../cloud/wire.js';
import { Priority, type JobSpec } from '../jobs/spec.js';
import { assignedTo, zoneOf, type Assignment, type JobRecord } from '../jobs/record.js';
import { RangeSet } from '../ranges.js';
import type {
  Address,
  Attempt,
  ImageId,
  JobId,
  MachineId,
  Millis,
  PartId,
  Revision,
  Sequence,
  Session,
  SteadyMs,
  TaskId,
  TaskIndex,
  TeamId,
  Token,
  TypeId,
  ZoneId,
} from '../units.js';
import { millis, steady } from '../units.js';
import type { ExitCause } from '../workers/wire.js';
import { Unsettled } from './accounting.js';
import { Sums, type Amount, type Room } from './sums.js';

export type { Room } from './sums.js';

/** A direct launch without an answer: it may be carried out as long as token and session match. */
export interface Doubt {
  readonly token: Token;
  readonly session: Session;
  readonly since: SteadyMs;
}

export interface Binding {
  readonly id: TaskId;
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly machine: MachineId;
  /** null: a task seen on a machine whose job is gone; its size is unknown. */
  readonly spec: JobSpec | null;
  /** `ordered`: the worker has not shown it yet. */
  phase: 'ordered' | 'fetching' | 'running' | 'saving';
  readonly boundAt: SteadyMs;
  runningSince: SteadyMs | null;
  stop: { grace: number; direct: 'due' | 'sent' } | null;
  /** A direct request carrying its launch is on its way. */
  inFlight: boolean;
  /** A direct launch is due. */
  due: boolean;
  doubt: Doubt | null;
  /** Number of the report whose answer carried the launch last. */
  answered: Sequence | null;
}

export interface Exited {
  readonly id: TaskId;
  readonly job: JobId;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  readonly cause: ExitCause;
  doubt: Doubt | null;
}

export interface Machine {
  readonly id: MachineId;
  address: Address;
  readonly type: TypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
  session: Session;
  sequence: Sequence;
  token: Token;
  /** A report of an earlier session than this describes tasks that are certainly gone. */
  leastSession: Session;
  lastHeard: SteadyMs | null;
  /** Since when its reports come without a gap. */
  heardSince: SteadyMs | null;
  /** Receipt of the last report that we may have answered. */
  lastReport: SteadyMs | null;
  lastReportSequence: Sequence | null;
  /** When we first heard of its present session, whose lease began before that. */
  sessionSeen: SteadyMs | null;
  /** Since the claim it has reported under our token, or its lease is certainly over. */
  settled: boolean;
  /** When the cloud takes it, once it said so. */
  takenAt: SteadyMs | null;
  readonly bindings: Map<TaskId, Binding>;
  /** What the bindings take together, kept up to date with them. */
  readonly used: Room;
  /** CPUs of bindings below critical, and how many bindings are of unknown size. */
  lesserCpus: number;
  unknownSize: number;
  /** How many bindings need each image: it is there, or on its way. */
  readonly wanted: Map<ImageId, number>;
  exited: Map<TaskId, Exited>;
  /** Images it should hold, the least recently used first; `Part.sawImage` keeps them within its cache. */
  readonly images: Map<ImageId, number>;
  directBusy: boolean;
  /**
   * Since when nothing of ours has certainly arrived there; null while it is reached. Reports prove nothing: a
   * machine may be heard and not hear us. Nothing new is placed on it until it answers a direct request.
   */
  unreachedSince: SteadyMs | null;
  /** Direct requests in a row that it did not answer. */
  missedCalls: number;
  /** When we first answered a report of it that did not show our token yet. */
  answeredUnsettled: SteadyMs | null;
  /** Receipt of the last report that we refused because our answers do not reach the machine. */
  refusedDeaf: SteadyMs | null;
  /** No new tasks before this time: it refused, failed or could not be reached. */
  avoidUntil: SteadyMs;
  faults: { at: SteadyMs; job: JobId }[];
  draining: boolean;
  returning: boolean;
  idleSince: SteadyMs | null;
  readonly since: SteadyMs;
}

/** A place kept for a task until those stopped for it are gone. */
export interface Hold {
  readonly machine: MachineId;
  readonly until: SteadyMs;
}

export interface PartJob {
  readonly id: JobId;
  readonly spec: JobSpec;
  record: JobRecord;
  version: Revision;
  /** May be started. */
  readonly waiting: RangeSet;
  /** Entrusted to us before our claim and not seen since: may be on a machine. */
  readonly frozen: RangeSet;
  /** Done, not yet in the record. */
  readonly finished: RangeSet;
  /** Being handed to another part: the write's outcome is open. */
  readonly moving: RangeSet;
  readonly holds: Map<number, Hold>;
  /** When it was accepted, by our clock; before this process began, perhaps. */
  readonly firstSeen: SteadyMs;
  /** Since when tasks of it have been waiting for room. */
  waitingSince: SteadyMs | null;
  notBefore: SteadyMs;
  /** Nobody could be stopped for it: no new search before this time. */
  searchAfter: SteadyMs;
  errors: number;
  successes: number;
  readonly errorMachines: Set<MachineId>;
  arrivedAt: SteadyMs;
}

/** Attempts that one token has room for. */
const ATTEMPTS = 2 ** 20;

export class Part {
  /** Change only through `add` and `drop`. */
  readonly machines = new Map<MachineId, Machine>();
  readonly jobs = new Map<JobId, PartJob>();
  /** Where each started task is. Changed only by `bind`, `attach` and `unbind`, like all sums below. */
  readonly bound = new Map<TaskId, Binding>();
  readonly boundOf = new Map<JobId, Set<Binding>>();
  /** Jobs that may have waiting tasks, and jobs with ends that are not in their record; cleaned when read. */
  readonly queue = new Set<PartJob>();
  readonly ended = new Set<PartJob>();
  /** Teams whose tasks found no room in the last round, and those that were at this part's share of their limit. */
  roomless: ReadonlySet<TeamId> = new Set();
  limited: ReadonlySet<TeamId> = new Set();
  /** By who may be stopped: a search that found nobody, for how much room, and until when it need not be repeated. */
  readonly fruitless = new Map<string, { readonly need: Room; readonly until: SteadyMs }>();
  /** Machines that may have something to be told directly. */
  readonly due = new Set<Machine>();
  /** Told to stop and not yet seen gone. */
  readonly stopping = new Set<Binding>();
  /** Machines that the cloud has said it will take. */
  readonly noticed = new Set<Machine>();
  readonly sums = new Sums();
  /** Every task of the claim has been seen, or cannot be on a machine. */
  accounted = false;
  readonly unsettled = new Unsettled();
  private counter = 0;
  private readonly firstToken: Token;
  private readonly imageNews = new Set<Machine>();
  private turns = this.machines.values();

  constructor(
    readonly id: PartId,
    public token: Token,
    public version: Revision,
    readonly claimedAt: SteadyMs,
    readonly types: ReadonlyMap<TypeId, MachineType>,
  ) {
    this.firstToken = token;
  }

  add(machine: Machine): void {
    this.machines.set(machine.id, machine);
    for (const image of machine.images.keys()) this.sums.holds(image, machine, true);
    this.sums.count(machine, 1);
    this.sums.level(machine, this.types);
    if (!machine.settled) this.unsettled.add(machine, 1);
    this.due.add(machine);
  }

  /** Its bindings have been ended before. */
  drop(machine: Machine): void {
    this.machines.delete(machine.id);
    for (const image of machine.images.keys()) this.sums.holds(image, machine, false);
    this.sums.count(machine, -1);
    this.sums.forget(machine);
    if (!machine.settled) this.unsettled.add(machine, -1);
    this.due.delete(machine);
    this.noticed.delete(machine);
  }

  /** It has reported under our token, or cannot hold anything from before. */
  settle(machine: Machine): void {
    if (machine.settled) return;
    this.sums.count(machine, -1);
    machine.settled = true;
    this.unsettled.add(machine, -1);
    this.sums.count(machine, 1);
  }

  /** The catalog has changed. */
  resize(): void {
    for (const m of this.machines.values()) this.sums.level(m, this.types);
  }

  /** Machines whose images are to be told now: the changed ones, then the next few, so that all are told again. */
  imageTurns(count: number): Set<Machine> {
    const out = new Set<Machine>();
    for (const m of this.imageNews) {
      if (out.size >= count) return out;
      this.imageNews.delete(m);
      if (this.machines.has(m.id)) out.add(m);
    }
    for (let left = Math.min(count - out.size, this.machines.size); left > 0; left -= 1) {
      let next = this.turns.next();
      if (next.done) next = (this.turns = this.machines.values()).next();
      if (!next.done && next.value.images.size > 0) out.add(next.value);
    }
    return out;
  }

  /** The machine has this image now; what its cache has no room for any more is what it used longest ago. */
  sawImage(machine: Machine, image: ImageId, gb: number): void {
    const known = machine.images.delete(image);
    machine.images.set(image, gb);
    if (known) return;
    this.imageNews.add(machine);
    this.sums.holds(image, machine, true);
    const cache = this.types.get(machine.type)?.cacheGb ?? Infinity;
    let total = 0;
    for (const size of machine.images.values()) total += size;
    for (const [old, size] of machine.images) {
      if (total <= cache) return;
      if (machine.wanted.has(old)) continue;
      machine.images.delete(old);
      this.sums.holds(old, machine, false);
      total -= size;
    }
  }

  /** Never repeated: the token is ours alone, and the counter goes on. */
  nextAttempt(): Attempt {
    this.counter += 1;
    return (this.token * ATTEMPTS + this.counter) as Attempt;
  }

  /** Did this owner start it, since its claim? */
  issued(attempt: Attempt): boolean {
    return attempt >= this.firstToken * ATTEMPTS;
  }
}

/** A machine whose tasks, or whose tasks' sizes, we do not know in full. */
export const isUnclear = (m: Machine): boolean => !m.settled || m.unknownSize > 0;

/** Brings a part's copy of a job up to its record; `atClaim` says that its tasks may already be on machines. */
export function syncJob(
  part: Part,
  record: JobRecord,
  version: Revision,
  now: SteadyMs,
  atClaim: boolean,
  /** Since it was accepted, perhaps by a controller that has ended. */
  age: Millis = millis(0),
): void {
  const known = part.jobs.get(record.spec.id);
  const open = assignedTo(record, part.id);
  open.removeAll(record.done);
  if (!known) {
    if (open.isEmpty) return;
    const job = newPartJob(record, version, now, open, atClaim, age);
    part.jobs.set(job.id, job);
    part.queue.add(job);
    return;
  }
  if (version <= known.version) return;
  const before = assignedTo(known.record, part.id);
  const added = open.clone();
  added.removeAll(before);
  known.record = record;
  known.version = version;
  if (!added.isEmpty) known.arrivedAt = now;
  // Handed to us: its giver knew that none of it is on a machine.
  known.waiting.addAll(added);
  for (const set of [known.waiting, known.frozen, known.moving]) keepOnly(set, open);
  keepOnly(known.finished, open);
  for (const b of part.boundOf.get(known.id) ?? []) known.waiting.remove(b.index);
  known.waiting.removeAll(known.finished);
  if (open.isEmpty && !part.boundOf.has(known.id)) part.jobs.delete(known.id);
  else part.queue.add(known);
}

function newPartJob(
  record: JobRecord,
  version: Revision,
  now: SteadyMs,
  open: RangeSet,
  atClaim: boolean,
  age: Millis,
): PartJob {
  return {
    id: record.spec.id,
    spec: record.spec,
    record,
    version,
    waiting: atClaim ? RangeSet.empty() : open,
    frozen: atClaim ? open : RangeSet.empty(),
    finished: RangeSet.empty(),
    moving: RangeSet.empty(),
    holds: new Map(),
    firstSeen: steady(now - age),
    waitingSince: null,
    notBefore: now,
    searchAfter: now,
    errors: 0,
    successes: 0,
    errorMachines: new Set(),
    arrivedAt: now,
  };
}

function keepOnly(set: RangeSet, allowed: RangeSet): void {
  const gone = set.clone();
  gone.removeAll(allowed);
  set.removeAll(gone);
}

/** Is this task ours to run, by the record we know? */
export function isOurs(part: Part, job: JobId, index: number): boolean {
  const known = part.jobs.get(job);
  if (!known) return false;
  return known.record.assignments.some((a) => a.part === part.id && a.from <= index && index < a.to);
}

export const pinOf = (job: PartJob, index: number): ZoneId | null => zoneOf(job.record, index);

/** Consecutive waiting tasks [from, to) that must be in the same zone; `zone` null: no restriction by the record. */
export interface WaitingRun {
  readonly from: number;
  readonly to: number;
  readonly zone: ZoneId | null;
}

/** The waiting tasks of a job as runs, in the order of their numbers. */
export function waitingRuns(job: PartJob): WaitingRun[] {
  const out: WaitingRun[] = [];
  const { assignments } = job.record;
  let next = 0;
  for (const [from, to] of job.waiting.ranges()) {
    while (next < assignments.length && (assignments[next] as Assignment).to <= from) next += 1;
    for (let i = next; i < assignments.length; i += 1) {
      const a = assignments[i] as Assignment;
      if (a.from >= to) break;
      out.push({ from: Math.max(from, a.from), to: Math.min(to, a.to), zone: a.zone });
    }
  }
  return out;
}

/** How many tasks of a job wait for each zone. */
export function waitingByZone(job: PartJob): Map<ZoneId | null, number> {
  const out = new Map<ZoneId | null, number>();
  for (const { from, to, zone } of waitingRuns(job)) out.set(zone, (out.get(zone) ?? 0) + to - from);
  return out;
}

export function newMachine(
  id: MachineId,
  address: Address,
  type: TypeId,
  zone: ZoneId,
  spot: boolean,
  now: SteadyMs,
  settled: boolean,
): Machine {
  return {
    id,
    address,
    type,
    zone,
    spot,
    session: 0 as Session,
    sequence: 0 as Sequence,
    token: 0 as Token,
    leastSession: 0 as Session,
    lastHeard: null,
    heardSince: null,
    lastReport: null,
    lastReportSequence: null,
    sessionSeen: null,
    settled,
    takenAt: null,
    bindings: new Map(),
    used: { cpus: 0, gpus: 0, memoryGb: 0 },
    lesserCpus: 0,
    unknownSize: 0,
    wanted: new Map(),
    exited: new Map(),
    images: new Map(),
    directBusy: false,
    unreachedSince: null,
    missedCalls: 0,
    answeredUnsettled: null,
    refusedDeaf: null,
    avoidUntil: now,
    faults: [],
    draining: false,
    returning: false,
    idleSince: null,
    since: now,
  };
}

/** The part's own count of a task that is on a machine, or may be. */
export function bind(part: Part, machine: Machine, binding: Binding): void {
  attach(part, machine, binding);
  part.bound.set(binding.id, binding);
  const job = part.jobs.get(binding.job);
  job?.waiting.remove(binding.index);
  job?.frozen.remove(binding.index);
}

/** Room and limits: a task that is seen on a machine counts, also when it should not be there. */
export function attach(part: Part, machine: Machine, binding: Binding): void {
  const before = machine.bindings.get(binding.id);
  if (before) detach(part, machine, before);
  machine.bindings.set(binding.id, binding);
  if (binding.stop) part.stopping.add(binding);
  tally(part, machine, binding, 1);
  const same = part.boundOf.get(binding.job) ?? new Set();
  part.boundOf.set(binding.job, same.add(binding));
}

function detach(part: Part, machine: Machine, binding: Binding): void {
  if (machine.bindings.get(binding.id) !== binding) return;
  machine.bindings.delete(binding.id);
  part.stopping.delete(binding);
  tally(part, machine, binding, -1);
  const same = part.boundOf.get(binding.job);
  same?.delete(binding);
  if (same?.size === 0) part.boundOf.delete(binding.job);
}

function tally(part: Part, machine: Machine, { spec }: Binding, sign: 1 | -1): void {
  part.sums.count(machine, -1);
  if (!spec) machine.unknownSize += sign;
  else {
    const { used } = machine;
    const alone = machine.bindings.size === 0;
    used.cpus = alone ? 0 : used.cpus + sign * spec.cpus;
    used.gpus = alone ? 0 : used.gpus + sign * spec.gpus;
    used.memoryGb = alone ? 0 : used.memoryGb + sign * spec.memoryGb;
    if (alone) machine.lesserCpus = 0;
    else if (spec.priority !== Priority.critical) machine.lesserCpus += sign * spec.cpus;
    part.sums.use(spec, sign);
    const wanted = (machine.wanted.get(spec.image) ?? 0) + sign;
    if (wanted > 0) machine.wanted.set(spec.image, wanted);
    else machine.wanted.delete(spec.image);
  }
  part.sums.count(machine, 1);
  part.sums.level(machine, part.types);
}

/**
 * A late copy of a report may have told us of a machine that the task has left, while another machine was told to stop
 * it: until it is gone from there as well, it must not start again.
 */
function elsewhere(part: Part, gone: Binding): Binding | null {
  for (const b of part.boundOf.get(gone.job) ?? []) if (b.id === gone.id) return b;
  return null;
}

/** The task is certainly not on that machine any more. */
export function unbind(part: Part, machine: Machine, binding: Binding): void {
  detach(part, machine, binding);
  if (part.bound.get(binding.id) !== binding) return;
  part.bound.delete(binding.id);
  const other = elsewhere(part, binding);
  if (other) {
    part.bound.set(other.id, other);
    return;
  }
  const job = part.jobs.get(binding.job);
  if (!job) return;
  const open = isOurs(part, binding.job, binding.index) && !job.record.done.has(binding.index);
  if (!open || job.finished.has(binding.index)) return;
  // Found on a machine after our claim and gone from there: a late copy of a report may have told us of it, and
  // the task may be on a machine that we have not heard of yet.
  if (!part.accounted && !part.issued(binding.attempt)) {
    job.frozen.add(binding.index);
    part.unsettled.changed = true;
    return;
  }
  job.waiting.add(binding.index);
  part.queue.add(job);
}

/** What is free on a machine; nothing while something of unknown size is on it. */
export function roomOn(machine: Machine, type: MachineType | undefined): Room {
  if (!type || machine.unknownSize > 0) return { cpus: 0, gpus: 0, memoryGb: 0 };
  const { used } = machine;
  return {
    cpus: type.cpus - used.cpus,
    gpus: type.gpus - used.gpus,
    memoryGb: type.memoryGb - used.memoryGb,
  };
}

/** What each team's tasks may be using at most: bound tasks, and whole machines that we cannot account for. */
export interface Usage {
  readonly teams: ReadonlyMap<TeamId, Readonly<Amount>>;
  readonly cpusAnybody: number;
  readonly gpusAnybody: number;
}

export const usageOf = (part: Part): Usage => ({
  teams: part.sums.teams,
  ...part.sums.unclear(part.types),
});
