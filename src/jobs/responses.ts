/** The answers to users' requests. */
import type { HttpResponse } from '../http/server.js';
import type { JobId } from '../model/units.js';
import { encodeAccepted, encodeStatus, type JobStatus } from './wire.js';

const MAX_RETRY_AFTER_S = 30;

/** 503: the state service did not answer, so nothing certain can be said now. */
export const UNAVAILABLE: HttpResponse = {
  status: 503,
  body: { error: 'state service not available, try again' },
  retryAfterS: 1,
};

/** 404: there is no such job. */
export const NOT_FOUND: HttpResponse = { status: 404, body: { error: 'no such job' } };

/** 503 that says when the user's turn can come; `waitMs` is the expected wait in milliseconds. */
export function unavailableAnswer(waitMs: number): HttpResponse {
  const wait = Math.ceil(waitMs / 1000);
  return { ...UNAVAILABLE, retryAfterS: Math.min(MAX_RETRY_AFTER_S, Math.max(1, wait)) };
}

/** A request that is refused for what it asks. */
export const rejectedAnswer = (status: 400 | 422, error: string): HttpResponse => ({
  status,
  body: { error },
});

/** 201: the job has been created by this request. */
export const createdAnswer = (id: JobId): HttpResponse => ({
  status: 201,
  body: encodeAccepted(id, 'pending'),
});

/** 200: the job exists, in this state. */
export const existingJobAnswer = (id: JobId, state: JobStatus['state']): HttpResponse => ({
  status: 200,
  body: encodeAccepted(id, state),
});

/** 200 to a status question. */
export const statusAnswer = (status: JobStatus): HttpResponse => ({
  status: 200,
  body: encodeStatus(status),
});
