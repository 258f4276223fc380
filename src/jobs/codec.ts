/**
 * Encodes and decodes job records for the store, and defines their keys. Different versions of the software read each
 * other's records during an upgrade, so the stored keys and field names must not change, even if the code is renamed.
 */
import * as v from 'valibot';
import { RangeSet, type Range } from '../model/ranges.js';
import type { JobId, ShardId, Revision, ClusterMs, StoreKey, ZoneId } from '../model/units.js';
import type { FinalState, JobRecord } from './record.js';
import type { JobSpec } from './spec.js';

/** Key prefix of the records of all active jobs, which have no final state yet. */
export const ACTIVE_JOBS_PREFIX = 'c/live/';
/** Key of a job's record, which exists while the job is active. */
export const activeJobKey = (id: JobId): StoreKey => `${ACTIVE_JOBS_PREFIX}${id}` as StoreKey;
/** Key of a job's final state, which is kept permanently, outside the prefix that is listed at start-up. */
export const finalStateKey = (id: JobId): StoreKey => `over/${id}` as StoreKey;

/** Stored names of the fields of a specification, in the order in which they are written. */
const STORED_SPEC_FIELDS = {
  id: 'id',
  jobClass: 'lane',
  team: 'team',
  kind: 'shape',
  priority: 'priority',
  tasks: 'tasks',
  cpus: 'cpus',
  gpus: 'gpus',
  memoryGb: 'memoryGb',
  types: 'types',
  zone: 'zone',
  oneZone: 'oneZone',
  spread: 'spread',
  spot: 'spot',
  image: 'image',
  imageGb: 'imageGb',
  estimateS: 'estimateS',
  checkpointIntervalS: 'checkpointS',
  checkpointDurationS: 'saveS',
  deadlineS: 'deadlineS',
} as const satisfies Record<Exclude<keyof JobSpec, 'unknownFields'>, string>;

/** Fields of a specification by stored name. */
const SPEC_FIELDS = new Map<string, string>(
  Object.entries(STORED_SPEC_FIELDS).map(([field, stored]) => [stored, field]),
);

const rangeSchema = v.pipe(
  v.tuple([v.number(), v.number()]),
  v.check(([from, to]) => from < to),
);
const assignmentSchema = v.tuple([v.number(), v.number(), v.number(), v.nullable(v.string())]);
const recordSchema = v.object({
  // Was written by some version of this software from a validated submission, so only its presence is checked.
  spec: v.custom<Record<string, unknown>>(
    (spec) => typeof spec === 'object' && spec !== null && 'id' in spec && 'tasks' in spec,
  ),
  home: v.number(),
  // Absent in records of earlier versions.
  born: v.optional(v.number(), 0),
  at: v.optional(v.nullable(v.number()), null),
  parts: v.array(assignmentSchema),
  done: v.array(rangeSchema),
});
const finalStateSchema = v.object({ state: v.picklist(['done', 'cancelled']) });

/** The stored form of a job's record. */
interface StoredRecord {
  readonly spec: Readonly<Record<string, unknown>>;
  readonly home: number;
  readonly born: number;
  readonly at: number | null;
  readonly parts: readonly (readonly [from: number, to: number, shard: number, zone: string | null])[];
  readonly done: readonly Range[];
}

/** Encodes the value of `activeJobKey`. */
export function encodeRecord(record: JobRecord): StoredRecord {
  return {
    spec: encodeSpec(record.spec),
    home: record.homeShard,
    born: record.acceptedRevision,
    at: record.acceptedAt,
    parts: record.assignments.map((assignment) => [
      assignment.from,
      assignment.to,
      assignment.shard,
      assignment.zone,
    ]),
    done: record.done.ranges(),
  };
}

/** Decodes a record. Returns null if it was written in a format that this version does not understand. */
export function decodeRecord(value: unknown): JobRecord | null {
  const result = v.safeParse(recordSchema, value);
  if (!result.success) return null;
  const stored = result.output;
  return {
    spec: decodeSpec(stored.spec),
    homeShard: stored.home as ShardId,
    acceptedRevision: stored.born as Revision,
    acceptedAt: stored.at as ClusterMs | null,
    assignments: stored.parts.map(([from, to, shard, zone]) => ({
      from,
      to,
      shard: shard as ShardId,
      zone: zone as ZoneId | null,
    })),
    done: RangeSet.of(stored.done as Range[]),
  };
}

/** Encodes a specification. Fields that are absent because an earlier version did not store them stay absent. */
function encodeSpec(spec: JobSpec): Record<string, unknown> {
  const stored: Record<string, unknown> = {};
  for (const [field, name] of Object.entries(STORED_SPEC_FIELDS)) {
    const value = spec[field as keyof JobSpec];
    if (value !== undefined) stored[name] = value;
  }
  return { ...stored, ...spec.unknownFields };
}

/** Decodes a specification. Unknown fields are kept, so that they are not lost when the record is written again. */
function decodeSpec(stored: Readonly<Record<string, unknown>>): JobSpec {
  const spec: Record<string, unknown> = {};
  const unknownFields: Record<string, unknown> = {};
  for (const [name, value] of Object.entries(stored)) {
    const field = SPEC_FIELDS.get(name);
    if (field === undefined) unknownFields[name] = value;
    else spec[field] = value;
  }
  if (Object.keys(unknownFields).length > 0) spec['unknownFields'] = unknownFields;
  return spec as unknown as JobSpec;
}

/** Encodes the value of `finalStateKey`. */
export const encodeFinalState = (state: FinalState): { readonly state: FinalState } => ({ state });

/** Decodes a final state. Returns null if the value cannot be decoded. */
export function decodeFinalState(value: unknown): FinalState | null {
  const result = v.safeParse(finalStateSchema, value);
  return result.success ? result.output.state : null;
}
