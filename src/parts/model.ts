/** What the owner of a part holds in memory: its machines, what is bound to them, and the tasks entrusted to it. */
import type { MachineType } from '../cloud/wire.js';
import type { JobSpec } from '../jobs/spec.js';
import { assignedTo, zoneOf, type JobRecord } from '../jobs/record.js';
import { RangeSet } from '../ranges.js';
import type {
  Address,
  Attempt,
  ImageId,
  JobId,
  MachineId,
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
import type { ExitCause } from '../workers/wire.js';

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
  /** Receipt of the last report that we may have answered. */
  lastReport: SteadyMs | null;
  lastReportSequence: Sequence | null;
  /** Since the claim it has reported under our token, or its lease is certainly over. */
  settled: boolean;
  /** When the cloud takes it, once it said so. */
  takenAt: SteadyMs | null;
  readonly bindings: Map<TaskId, Binding>;
  exited: Map<TaskId, Exited>;
  readonly images: Map<ImageId, number>;
  directBusy: boolean;
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
  readonly firstSeen: SteadyMs;
  /** Since when tasks of it have been waiting for room. */
  waitingSince: SteadyMs | null;
  notBefore: SteadyMs;
  errors: number;
  successes: number;
  readonly errorMachines: Set<MachineId>;
  arrivedAt: SteadyMs;
}

export class Part {
  readonly machines = new Map<MachineId, Machine>();
  readonly jobs = new Map<JobId, PartJob>();
  /** Where each started task is. */
  readonly bound = new Map<TaskId, Binding>();
  /** Every task of the claim has been seen, or cannot be on a machine. */
  accounted = false;
  private counter = 0;

  constructor(
    readonly id: PartId,
    public token: Token,
    public version: Revision,
    readonly claimedAt: SteadyMs,
  ) {}

  /** Never repeated: the token is ours alone, and the counter goes on. */
  nextAttempt(): Attempt {
    this.counter += 1;
    return (this.token * 2 ** 20 + this.counter) as Attempt;
  }
}

/** Brings a part's copy of a job up to its record; `atClaim` says that its tasks may already be on machines. */
export function syncJob(
  part: Part,
  record: JobRecord,
  version: Revision,
  now: SteadyMs,
  atClaim: boolean,
): void {
  const known = part.jobs.get(record.spec.id);
  const open = assignedTo(record, part.id);
  open.removeAll(record.done);
  if (!known) {
    if (open.isEmpty) return;
    part.jobs.set(record.spec.id, newPartJob(record, version, now, open, atClaim));
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
  for (const b of part.bound.values()) if (b.job === known.id) known.waiting.remove(b.index);
  known.waiting.removeAll(known.finished);
  if (open.isEmpty && !hasBindings(part, known.id)) part.jobs.delete(known.id);
}

function newPartJob(
  record: JobRecord,
  version: Revision,
  now: SteadyMs,
  open: RangeSet,
  atClaim: boolean,
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
    firstSeen: now,
    waitingSince: null,
    notBefore: now,
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

function hasBindings(part: Part, job: JobId): boolean {
  for (const b of part.bound.values()) if (b.job === job) return true;
  return false;
}

/** Is this task ours to run, by the record we know? */
export function isOurs(part: Part, job: JobId, index: number): boolean {
  const known = part.jobs.get(job);
  if (!known) return false;
  return known.record.assignments.some((a) => a.part === part.id && a.from <= index && index < a.to);
}

export const pinOf = (job: PartJob, index: number): ZoneId | null => zoneOf(job.record, index);

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
    lastReport: null,
    lastReportSequence: null,
    settled,
    takenAt: null,
    bindings: new Map(),
    exited: new Map(),
    images: new Map(),
    directBusy: false,
    avoidUntil: now,
    faults: [],
    draining: false,
    returning: false,
    idleSince: null,
    since: now,
  };
}

export function bind(part: Part, machine: Machine, binding: Binding): void {
  machine.bindings.set(binding.id, binding);
  part.bound.set(binding.id, binding);
  const job = part.jobs.get(binding.job);
  job?.waiting.remove(binding.index);
  job?.frozen.remove(binding.index);
}

/** The task is certainly not on that machine any more. */
export function unbind(part: Part, machine: Machine, binding: Binding): void {
  machine.bindings.delete(binding.id);
  if (part.bound.get(binding.id) !== binding) return;
  part.bound.delete(binding.id);
  const job = part.jobs.get(binding.job);
  if (!job) return;
  const open = isOurs(part, binding.job, binding.index) && !job.record.done.has(binding.index);
  if (open && !job.finished.has(binding.index)) job.waiting.add(binding.index);
}

export interface Room {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** What is free on a machine; nothing while something of unknown size is on it. */
export function roomOn(machine: Machine, type: MachineType | undefined): Room {
  if (!type) return { cpus: 0, gpus: 0, memoryGb: 0 };
  const room = { cpus: type.cpus, gpus: type.gpus, memoryGb: type.memoryGb };
  for (const b of machine.bindings.values()) {
    if (!b.spec) return { cpus: 0, gpus: 0, memoryGb: 0 };
    room.cpus -= b.spec.cpus;
    room.gpus -= b.spec.gpus;
    room.memoryGb -= b.spec.memoryGb;
  }
  return room;
}

/** What each team's tasks may be using at most: bound tasks, and whole machines that we cannot account for. */
export interface Usage {
  readonly teams: Map<TeamId, { cpus: number; gpus: number }>;
  cpusAnybody: number;
  gpusAnybody: number;
}

export function usageOf(part: Part, types: ReadonlyMap<TypeId, MachineType>): Usage {
  const usage: Usage = { teams: new Map(), cpusAnybody: 0, gpusAnybody: 0 };
  for (const m of part.machines.values()) {
    let unclear = !m.settled;
    for (const b of m.bindings.values()) {
      if (!b.spec) unclear = true;
      else {
        const t = usage.teams.get(b.spec.team) ?? { cpus: 0, gpus: 0 };
        t.cpus += b.spec.cpus;
        t.gpus += b.spec.gpus;
        usage.teams.set(b.spec.team, t);
      }
    }
    if (unclear) {
      // Guards the limit after a takeover: a machine not heard from may be full of any one team's tasks.
      const type = types.get(m.type);
      usage.cpusAnybody += type?.cpus ?? Infinity;
      usage.gpusAnybody += type?.gpus ?? Infinity;
    }
  }
  return usage;
}
