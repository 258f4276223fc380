/** A part's copy of a job: which of its tasks wait, are held back, or are done. */
import { requiredZoneOf, type Assignment, type JobRecord } from '../jobs/record.js';
import type { JobSpec } from '../jobs/spec.js';
import { newGangHistory, type GangHistory } from '../model/gang.js';
import { scale, type Resources } from '../model/resources.js';
import { RangeSet } from '../model/ranges.js';
import { steady } from '../model/units.js';
import type { JobId, MachineId, Millis, Revision, SteadyMs, ZoneId } from '../model/units.js';

/** A place kept for a task until those stopped for it are gone. */
export interface Reservation {
  readonly machine: MachineId;
  readonly reservedUntil: SteadyMs;
  /** For a job that has waited too long: nothing is stopped for it, the machine empties by itself. */
  readonly withoutPreemption: boolean;
}

export interface ShardJob {
  readonly id: JobId;
  readonly spec: JobSpec;
  record: JobRecord;
  version: Revision;
  /** May be started. */
  readonly waiting: RangeSet;
  /** Entrusted to us before our claim and not seen since: may be on a machine. */
  readonly unaccounted: RangeSet;
  /** Done, not yet in the record. */
  readonly finished: RangeSet;
  /** Being handed to another part: the write's outcome is open. */
  readonly handingOver: RangeSet;
  readonly reservations: Map<number, Reservation>;
  /** When it was accepted, by our clock; before this process began, perhaps. */
  readonly acceptedAt: SteadyMs;
  /** Since when tasks of it have been waiting for room. */
  waitingSince: SteadyMs | null;
  backoffUntil: SteadyMs;
  /** Nobody could be stopped for it: no new search before this time. */
  nextPreemptionSearchAt: SteadyMs;
  errors: number;
  successes: number;
  readonly failedMachines: Set<MachineId>;
  arrivedAt: SteadyMs;
  /** What is known of the attempts of its tasks together; null: no gang. */
  readonly gangHistory: GangHistory | null;
}

export function newShardJob(
  record: JobRecord,
  version: Revision,
  now: SteadyMs,
  unfinished: RangeSet,
  atAcquisition: boolean,
  age: Millis,
): ShardJob {
  return {
    id: record.spec.id,
    spec: record.spec,
    record,
    version,
    waiting: atAcquisition ? RangeSet.empty() : unfinished,
    unaccounted: atAcquisition ? unfinished : RangeSet.empty(),
    finished: RangeSet.empty(),
    handingOver: RangeSet.empty(),
    reservations: new Map(),
    acceptedAt: steady(now - age),
    waitingSince: null,
    backoffUntil: now,
    nextPreemptionSearchAt: now,
    errors: 0,
    successes: 0,
    failedMachines: new Set(),
    arrivedAt: now,
    gangHistory: record.spec.kind === 'gang' ? newGangHistory() : null,
  };
}

/** What must be had at once for anything of the job to start: of a gang all tasks, else one. */
export const minimumToStart = (job: ShardJob): Resources =>
  job.gangHistory ? scale(job.spec, job.waiting.size + job.unaccounted.size) : job.spec;

export const requiredZone = (job: ShardJob, index: number): ZoneId | null =>
  requiredZoneOf(job.record, index);

/** Consecutive waiting tasks [from, to) that must be in the same zone; `zone` null: no restriction by the record. */
export interface WaitingRun {
  readonly from: number;
  readonly to: number;
  readonly zone: ZoneId | null;
}

/** The waiting tasks of a job as runs, in the order of their numbers. */
export function waitingRuns(job: ShardJob): WaitingRun[] {
  const runs: WaitingRun[] = [];
  const { assignments } = job.record;
  let next = 0;
  for (const [from, to] of job.waiting.ranges()) {
    while (next < assignments.length && (assignments[next] as Assignment).to <= from) next += 1;
    for (let i = next; i < assignments.length; i += 1) {
      const assignment = assignments[i] as Assignment;
      if (assignment.from >= to) break;
      runs.push({
        from: Math.max(from, assignment.from),
        to: Math.min(to, assignment.to),
        zone: assignment.zone,
      });
    }
  }
  return runs;
}

/** How many tasks of a job wait for each zone. */
export function waitingByZone(job: ShardJob): Map<ZoneId | null, number> {
  const counts = new Map<ZoneId | null, number>();
  for (const { from, to, zone } of waitingRuns(job)) counts.set(zone, (counts.get(zone) ?? 0) + to - from);
  return counts;
}
