/**
 * A shard's copy of a job: which of its tasks wait, may be on a machine that the leader has not heard from, or have
 * finished. Each unfinished task that is assigned to the shard is in `waiting`, in `unaccounted`, in `unconfirmed`, in
 * the set of tasks being transferred or in an allocation; `sync.ts` keeps the copy up to date with the record.
 */
import { requiredZoneOf, type Assignment, type JobRecord } from '../jobs/record.js';
import type { JobSpec } from '../jobs/spec.js';
import { newGangHistory, type GangHistory } from '../model/gang.js';
import { scale, type Resources } from '../model/resources.js';
import { RangeSet } from '../model/ranges.js';
import { steady } from '../model/units.js';
import type { JobId, MachineId, Millis, Revision, SteadyMs, ZoneId } from '../model/units.js';

/** Why the task of a reservation did not start in the last cycle that considered it. */
export type ReservationObstacle = 'not looked at' | 'machine not free' | 'quota' | 'gang incomplete';

/** A machine reserved for a task that does not fit on any machine yet. */
export interface Reservation {
  readonly machine: MachineId;
  readonly reservedUntil: SteadyMs;
  /** For a job that has waited too long: no task is preempted, the machine empties as its tasks end. */
  readonly withoutPreemption: boolean;
  /** Only for the log. */
  lastObstacle: ReservationObstacle;
}

/** A job with tasks assigned to the shard, as the shard's leader knows it. */
export interface ShardJob {
  readonly id: JobId;
  readonly spec: JobSpec;
  /** The newest record that has been read. */
  record: JobRecord;
  /** Revision of that record. */
  version: Revision;
  /** Tasks that are certainly on no machine and may be started. */
  readonly waiting: RangeSet;
  /** Tasks that an earlier leader may have started and that have not been seen since; they may be on a machine. */
  readonly unaccounted: RangeSet;
  /** Tasks assigned by a record ahead of the watch: a later leader may have started them, an earlier one cannot. */
  readonly unconfirmed: RangeSet;
  /** Revision of the newest record that assigned tasks to the shard. */
  assignedVersion: Revision;
  /** Tasks that have finished and are not yet recorded as done. */
  readonly finished: RangeSet;
  /** Tasks being transferred to another shard, while the outcome of the write is unknown. */
  readonly transferring: RangeSet;
  /** Machines reserved for its tasks, by task index. */
  readonly reservations: Map<number, Reservation>;
  /**
   * Machines on which tasks were preempted for a task of this job that then did not start there, and when that was
   * seen.
   */
  readonly unusedPreemptions: Map<MachineId, SteadyMs>;
  /** When the job was accepted, by the clock of this process; may be before the process started. */
  readonly acceptedAt: SteadyMs;
  /** Since when tasks of the job have been waiting for capacity; null: no task is waiting for it. */
  waitingSince: SteadyMs | null;
  /** After errors no task of the job is started before this time. */
  backoffUntil: SteadyMs;
  /** No search for preemption victims before this time: the last search found none. */
  nextPreemptionSearchAt: SteadyMs;
  /** How many of its tasks have ended in an error. */
  errors: number;
  /** How many of its tasks have ended without an error. */
  successes: number;
  /** Machines on which a task of the job has failed. */
  readonly failedMachines: Set<MachineId>;
  /** When tasks were last assigned to this shard. */
  lastAssignedAt: SteadyMs;
  /** What is known of the attempts of the gang; null: the job is not a gang. */
  readonly gangHistory: GangHistory | null;
}

/** Initial values of a shard's copy of a job. */
export interface ShardJobOptions {
  readonly record: JobRecord;
  readonly version: Revision;
  readonly addedAt: SteadyMs;
  /** Tasks that are assigned to the shard and not recorded as done. The copy owns the set from then on. */
  readonly unfinished: RangeSet;
  /** An earlier leader of the shard may have started these tasks. */
  readonly mayBeRunning: boolean;
  /** Time since the job was accepted. */
  readonly age: Millis;
}

/** Creates a copy of a job of which only the record is known. */
export function newShardJob(options: ShardJobOptions): ShardJob {
  const { record, version, addedAt, unfinished, mayBeRunning, age } = options;
  return {
    id: record.spec.id,
    spec: record.spec,
    record,
    version,
    waiting: RangeSet.empty(),
    unaccounted: mayBeRunning ? unfinished : RangeSet.empty(),
    unconfirmed: mayBeRunning ? RangeSet.empty() : unfinished,
    assignedVersion: version,
    finished: RangeSet.empty(),
    transferring: RangeSet.empty(),
    reservations: new Map(),
    unusedPreemptions: new Map(),
    acceptedAt: steady(addedAt - age),
    waitingSince: null,
    backoffUntil: addedAt,
    nextPreemptionSearchAt: addedAt,
    errors: 0,
    successes: 0,
    failedMachines: new Set(),
    lastAssignedAt: addedAt,
    gangHistory: record.spec.kind === 'gang' ? newGangHistory() : null,
  };
}

/**
 * Removes the tasks [start, end), which are on a machine or have ended, from all sets of tasks that may still start.
 */
export function withdrawFromQueue(job: ShardJob, start: number, end: number): void {
  for (const tasks of [job.waiting, job.unaccounted, job.unconfirmed]) tasks.removeRange(start, end);
}

/** Returns the capacity that must be free for the job to start: for all tasks of a gang, otherwise for one task. */
export const minimumToStart = (job: ShardJob): Resources =>
  job.gangHistory ? scale(job.spec, job.waiting.size + job.unaccounted.size) : job.spec;

/** Returns the zone in which the task must run by the job's record; null: any zone. */
export const requiredZone = (job: ShardJob, index: number): ZoneId | null =>
  requiredZoneOf(job.record, index);

/** Consecutive waiting tasks [start, end) that must run in the same zone; null: in any zone. */
export interface WaitingRange {
  readonly start: number;
  readonly end: number;
  readonly zone: ZoneId | null;
}

/** Returns the waiting tasks of a job as ranges of equal zone, in the order of the task indices. */
export function waitingRanges(job: ShardJob): WaitingRange[] {
  const ranges: WaitingRange[] = [];
  const { assignments } = job.record;
  let next = 0;
  for (const [start, end] of job.waiting.ranges()) {
    while (next < assignments.length && (assignments[next] as Assignment).to <= start) next += 1;
    for (let i = next; i < assignments.length; i += 1) {
      const assignment = assignments[i] as Assignment;
      if (assignment.from >= end) break;
      ranges.push({
        start: Math.max(start, assignment.from),
        end: Math.min(end, assignment.to),
        zone: assignment.zone,
      });
    }
  }
  return ranges;
}

/** Counts the waiting tasks of a job by required zone. */
export function waitingByZone(job: ShardJob): Map<ZoneId | null, number> {
  const counts = new Map<ZoneId | null, number>();
  for (const { start, end, zone } of waitingRanges(job))
    counts.set(zone, (counts.get(zone) ?? 0) + end - start);
  return counts;
}
