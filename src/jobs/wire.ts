/** Users' messages, between their words and ours. */
import * as v from 'valibot';
import type { ImageId, JobId, Seconds, TeamId, InstanceTypeId, ZoneId } from '../model/units.js';
import { Priority, type JobSpec } from './spec.js';

const MAX_TASKS = 100_000;
const JOB_ID_PATTERN = /^req-[0-9A-Za-z_-]{1,64}$/;

const MAX_AMOUNT = 1e9;

const AMOUNT = `expected a number from 0 to ${MAX_AMOUNT}`;
const WHOLE_AMOUNT = `expected a whole number from 0 to ${MAX_AMOUNT}`;
const amountSchema = (expected: string) =>
  v.pipe(v.number(expected), v.finite(expected), v.minValue(0, expected), v.maxValue(MAX_AMOUNT, expected));
const amount = amountSchema(AMOUNT);
const wholeAmount = v.pipe(amountSchema(WHOLE_AMOUNT), v.integer(WHOLE_AMOUNT));
const name = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
const maybe = <S extends v.GenericSchema>(schema: S) => v.optional(v.nullable(schema), null);

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
  hulls: maybe(v.pipe(v.array(name), v.maxLength(64))),
  harbor: maybe(name),
  samePlace: v.boolean(),
  apart: v.boolean(),
  driftboats: v.boolean(),
  passageS: amount,
  moorS: amount,
  stowS: amount,
  tideS: maybe(amount),
});

/** What users call the fields of a job that a refusal is about. */
export const FIELDS = {
  cpus: 'vcpus',
  gpus: 'cards',
  memoryGb: 'memoryGb',
  types: 'hulls',
  zone: 'harbor',
} as const satisfies Partial<Record<keyof JobSpec, keyof typeof submissionSchema.entries>>;

const PRIORITIES: Record<string, Priority> = {
  critical: Priority.critical,
  urgent: Priority.urgent,
  standard: Priority.standard,
  best_effort: Priority.bestEffort,
};

/** A request to submit, as far as it could be read. */
export type Submission =
  | { readonly kind: 'spec'; readonly spec: JobSpec }
  /** Malformed; the id is given when at least that could be read. */
  | { readonly kind: 'malformed'; readonly error: string; readonly id: JobId | null };

/** Has the text the form of a job's id? */
export const isJobId = (text: string): text is JobId => JOB_ID_PATTERN.test(text);

function readJobId(data: unknown): JobId | null {
  const id = typeof data === 'object' && data !== null ? (data as Record<string, unknown>)['uid'] : null;
  return typeof id === 'string' && isJobId(id) ? id : null;
}

/** Reads and checks the body of a submission. */
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
    const field = issue.path?.map((p) => String(p.key)).join('.') ?? 'body';
    return { kind: 'malformed', error: `${field}: ${issue.message}`, id: readJobId(data) };
  }
  return { kind: 'spec', spec: toSpec(result.output) };
}

function toSpec(submission: v.InferOutput<typeof submissionSchema>): JobSpec {
  return {
    id: submission.uid as JobId,
    jobClass: submission.lane,
    team: submission.crew as TeamId,
    kind: submission.shape === 'standing' ? 'service' : submission.shape === 'gang' ? 'gang' : 'array',
    priority: PRIORITIES[submission.rank] as Priority,
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

/** The answer to a poll; `done` and `running` count tasks. */
export interface JobStatus {
  readonly id: JobId;
  readonly state: 'pending' | 'running' | 'done' | 'cancelled';
  readonly done: number;
  readonly running: number;
}

/** Body of the answers to submissions and cancellations. */
export const encodeAccepted = (id: JobId, state: JobStatus['state']): unknown => ({ uid: id, status: state });

/** Body of the answer to a poll. */
export const encodeStatus = (status: JobStatus): unknown => ({
  uid: status.id,
  status: status.state,
  done: status.done,
  running: status.running,
});
