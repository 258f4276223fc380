/**
 * What a request about a job came to, and the one place that turns it into the protocol's answer. The ways of a request
 * (submission, status, cancellation) return outcomes and know no status code.
 */
import type { HttpResponse } from '../http/server.js';
import { millis, type JobId, type Millis } from '../model/units.js';
import { encodeAccepted, encodeStatus, type JobStatus } from './wire.js';

/** A submission that is refused for what it asks: it will be refused again. */
export type SubmissionRefusal =
  /** The body cannot be read, or is too large to be stored. */
  | { readonly kind: 'malformed'; readonly reason: string }
  /** The job can never run in this deployment. */
  | { readonly kind: 'inadmissible'; readonly reason: string };

/** Nothing certain can be said now; the user may try again. */
export interface Unavailable {
  readonly kind: 'unavailable';
  /** How long a request would wait for its turn now. */
  readonly expectedWait: Millis;
}

/** What a request came to. */
export type RequestOutcome =
  | SubmissionRefusal
  | Unavailable
  /** The job has been created by this request. */
  | { readonly kind: 'created'; readonly id: JobId }
  /** The job exists or has ended: the answer to a repeated submission, and to a cancellation. */
  | { readonly kind: 'existing'; readonly id: JobId; readonly state: JobStatus['state'] }
  | { readonly kind: 'status'; readonly status: JobStatus }
  /** There is no such job. */
  | { readonly kind: 'notFound' };

/** The store did not answer: nothing is known about the length of the wait. */
export const UNAVAILABLE: Unavailable = { kind: 'unavailable', expectedWait: millis(0) };

/** There is no such job. */
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

/** In whole seconds, as the header takes them. */
function retryAfterS(expectedWait: Millis): number {
  const waitS = Math.ceil(expectedWait / 1000);
  return Math.min(MAX_RETRY_AFTER_S, Math.max(MIN_RETRY_AFTER_S, waitS));
}

/** The protocol's answer to a request. */
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
