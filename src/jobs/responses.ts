/**
 * Outcomes of requests about jobs, and their mapping to HTTP responses. Submission, status and cancellation return
 * outcomes; only this module uses status codes.
 */
import type { HttpResponse } from '../http/server.js';
import { millis, type JobId, type Millis } from '../model/units.js';
import { encodeAccepted, encodeStatus, type JobStatus } from './wire.js';

/** A submission that is refused for its contents; repeating it gives the same result. */
export type SubmissionRefusal =
  /** The body cannot be decoded, or is too large to be stored. */
  | { readonly kind: 'malformed'; readonly reason: string }
  /** The job can never run in this deployment. */
  | { readonly kind: 'inadmissible'; readonly reason: string };

/** The request cannot be answered reliably now; the user may retry. */
export interface Unavailable {
  readonly kind: 'unavailable';
  /** How long a request would currently be delayed by the rate limits. */
  readonly expectedWait: Millis;
}

/** The outcome of a request. */
export type RequestOutcome =
  | SubmissionRefusal
  | Unavailable
  /** This request has created the job. */
  | { readonly kind: 'created'; readonly id: JobId }
  /** The job exists or has ended: the answer to a repeated submission, and to a cancellation. */
  | { readonly kind: 'existing'; readonly id: JobId; readonly state: JobStatus['state'] }
  | { readonly kind: 'status'; readonly status: JobStatus }
  /** There is no such job. */
  | { readonly kind: 'notFound' };

/** The store did not answer, so the length of the wait is unknown. */
export const UNAVAILABLE: Unavailable = { kind: 'unavailable', expectedWait: millis(0) };

/** Outcome for a job that does not exist. */
export const NOT_FOUND = { kind: 'notFound' } as const satisfies RequestOutcome;

const HttpStatus = {
  ok: 200,
  created: 201,
  badRequest: 400,
  notFound: 404,
  unprocessable: 422,
  unavailable: 503,
} as const;

const MIN_RETRY_AFTER_S = 1;
const MAX_RETRY_AFTER_S = 30;

/** Converts to whole seconds, as the `Retry-After` header requires. */
function retryAfterS(expectedWait: Millis): number {
  const waitS = Math.ceil(expectedWait / 1000);
  return Math.min(MAX_RETRY_AFTER_S, Math.max(MIN_RETRY_AFTER_S, waitS));
}

/** Returns the HTTP response for an outcome. */
export function responseTo(outcome: RequestOutcome): HttpResponse {
  switch (outcome.kind) {
    case 'created':
      return { status: HttpStatus.created, body: encodeAccepted(outcome.id, 'pending') };
    case 'existing':
      return { status: HttpStatus.ok, body: encodeAccepted(outcome.id, outcome.state) };
    case 'status':
      return { status: HttpStatus.ok, body: encodeStatus(outcome.status) };
    case 'malformed':
      return { status: HttpStatus.badRequest, body: { error: outcome.reason } };
    case 'inadmissible':
      return { status: HttpStatus.unprocessable, body: { error: outcome.reason } };
    case 'notFound':
      return { status: HttpStatus.notFound, body: { error: 'no such job' } };
    case 'unavailable':
      return {
        status: HttpStatus.unavailable,
        body: { error: 'state service not available, try again' },
        retryAfterS: retryAfterS(outcome.expectedWait),
      };
  }
}
