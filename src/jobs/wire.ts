/** Encodes and decodes the messages of the user protocol, and validates submissions. */
import * as v from 'valibot';
import type { ImageId, JobId, Seconds, TeamId, InstanceTypeId, ZoneId } from '../model/units.js';
import { Priority, type JobKind, type JobSpec } from './spec.js';

/** Maximum number of tasks of a job. */
const MAX_TASKS = 100_000;
const JOB_ID_PATTERN = /^req-[0-9A-Za-z_-]{1,64}$/;

/** Maximum number of instance types in a submission. */
const MAX_TYPES = 64;
/** Maximum length of a name in a submission, in UTF-16 code units. */
const MAX_NAME_LENGTH = 200;

/** Upper bound for every resource amount, size and duration. */
const MAX_AMOUNT = 1e9;

const EXPECTED_AMOUNT = `expected a number from 0 to ${MAX_AMOUNT}`;
const EXPECTED_WHOLE_AMOUNT = `expected a whole number from 0 to ${MAX_AMOUNT}`;
const amountSchema = (expected: string) =>
  v.pipe(v.number(expected), v.finite(expected), v.minValue(0, expected), v.maxValue(MAX_AMOUNT, expected));
const amount = amountSchema(EXPECTED_AMOUNT);
const wholeAmount = v.pipe(amountSchema(EXPECTED_WHOLE_AMOUNT), v.integer(EXPECTED_WHOLE_AMOUNT));
const name = v.pipe(v.string(), v.minLength(1), v.maxLength(MAX_NAME_LENGTH));
/** An optional field, for which null is equivalent to being absent. */
const optional = <S extends v.GenericSchema>(schema: S) => v.optional(v.nullable(schema), null);

const submissionSchema = v.object({
  uid: v.pipe(v.string(), v.regex(JOB_ID_PATTERN)),
  lane: name,
  crew: name,
  shape: v.picklist(['batch', 'standing', 'gang']),
  rank: v.picklist(['critical', 'urgent', 'standard', 'best_effort']),
  legs: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(MAX_TASKS)),
  vcpus: amount,
  cards: wholeAmount,
  memoryGb: amount,
  cargo: name,
  sizeGb: amount,
  hulls: optional(v.pipe(v.array(name), v.maxLength(MAX_TYPES))),
  harbor: optional(name),
  samePlace: v.boolean(),
  apart: v.boolean(),
  driftboats: v.boolean(),
  passageS: amount,
  moorS: amount,
  stowS: amount,
  tideS: optional(amount),
});

type SentSubmission = v.InferOutput<typeof submissionSchema>;

/** The protocol's names of the fields that the reason of a refusal may mention. */
export const FIELDS = {
  cpus: 'vcpus',
  gpus: 'cards',
  memoryGb: 'memoryGb',
  types: 'hulls',
  zone: 'harbor',
} as const satisfies Partial<Record<keyof JobSpec, keyof typeof submissionSchema.entries>>;

const JOB_KINDS = {
  batch: 'array',
  standing: 'service',
  gang: 'gang',
} as const satisfies Record<SentSubmission['shape'], JobKind>;

const PRIORITIES = {
  critical: Priority.critical,
  urgent: Priority.urgent,
  standard: Priority.standard,
  best_effort: Priority.bestEffort,
} as const satisfies Record<SentSubmission['rank'], Priority>;

/** The result of decoding a submission. */
export type Submission =
  | { readonly kind: 'spec'; readonly spec: JobSpec }
  /** The body is malformed; `id` is set if it could be read nevertheless. */
  | { readonly kind: 'malformed'; readonly error: string; readonly id: JobId | null };

/** Returns whether the text is a valid job id. */
export const isJobId = (text: string): text is JobId => JOB_ID_PATTERN.test(text);

/** Reads the job id of a body that may be malformed. Returns null if the id is missing or invalid. */
function readJobId(data: unknown): JobId | null {
  const id = typeof data === 'object' && data !== null ? (data as Record<string, unknown>)['uid'] : null;
  return typeof id === 'string' && isJobId(id) ? id : null;
}

/** Decodes and validates the body of a submission. */
export function decodeSubmission(body: Buffer): Submission {
  let data: unknown;
  try {
    data = JSON.parse(body.toString('utf8'));
  } catch {
    return { kind: 'malformed', error: 'the body is not JSON', id: null };
  }
  const result = v.safeParse(submissionSchema, data, { abortEarly: true });
  if (!result.success) {
    const issue = result.issues[0];
    const field = issue.path?.map((step) => String(step.key)).join('.') ?? 'body';
    return { kind: 'malformed', error: `${field}: ${issue.message}`, id: readJobId(data) };
  }
  return { kind: 'spec', spec: toSpec(result.output) };
}

function toSpec(submission: SentSubmission): JobSpec {
  return {
    id: submission.uid as JobId,
    jobClass: submission.lane,
    team: submission.crew as TeamId,
    kind: JOB_KINDS[submission.shape],
    priority: PRIORITIES[submission.rank],
    tasks: submission.legs,
    cpus: submission.vcpus,
    gpus: submission.cards,
    memoryGb: submission.memoryGb,
    types: submission.hulls as InstanceTypeId[] | null,
    zone: submission.harbor as ZoneId | null,
    oneZone: submission.samePlace,
    spread: submission.apart,
    spot: submission.driftboats,
    image: submission.cargo as ImageId,
    imageGb: submission.sizeGb,
    estimateS: submission.passageS as Seconds,
    checkpointIntervalS: submission.moorS as Seconds,
    checkpointDurationS: submission.stowS as Seconds,
    deadlineS: submission.tideS as Seconds | null,
  };
}

/** The answer to a status request; `done` and `running` count tasks. */
export interface JobStatus {
  readonly id: JobId;
  readonly state: 'pending' | 'running' | 'done' | 'cancelled';
  readonly done: number;
  readonly running: number;
}

/** Encodes the body of the answers to submissions and cancellations. */
export const encodeAccepted = (id: JobId, state: JobStatus['state']): unknown => ({ uid: id, status: state });

/** Encodes the body of the answer to a status request. */
export const encodeStatus = (status: JobStatus): unknown => ({
  uid: status.id,
  status: status.state,
  done: status.done,
  running: status.running,
});
