/**
 * Outcomes of requests to the key-value store, as its client reports them. An outcome says what the caller may
 * conclude: that the request was applied, that it was not and never will be, or that it may have been or may still be
 * applied. The functions in this module derive outcomes from HTTP responses; they send nothing.
 */
import type { CallOutcome } from '../http/client.js';
import type { LeaseId, Revision, StoreKey } from '../model/units.js';
import type { PageDefect } from './listing.js';
import { HttpStatus } from './http-status.js';
import {
  decodeConflict,
  decodeEntry,
  decodeLease,
  decodePage,
  decodeRevision,
  decodeWatchResponse,
  type Entry,
  type EntryPage,
  type WatchResponse,
} from './wire.js';

/** Outcome of one compare-and-swap request. */
export type CompareAndSwapResult =
  /** Applied: all changes were committed at this revision. */
  | { readonly kind: 'done'; readonly revision: Revision }
  /** Certainly not applied: these keys do not have the versions that the conditions require. */
  | { readonly kind: 'conflict'; readonly failed: readonly StoreKey[] }
  /** Certainly not applied: rejected by the store, rate-limited, or never sent. */
  | { readonly kind: 'refused' }
  /** May have been applied or may be applied later: no readable response arrived. */
  | { readonly kind: 'unknown' };

/** Outcome of reading one key. A read changes nothing, so it may always be retried. */
export type ReadResult =
  /** The key held this entry at some moment after the request. */
  | { readonly kind: 'found'; readonly entry: Entry }
  /** The store says that the key did not exist at some moment after the request. */
  | { readonly kind: 'absent' }
  /** Nothing is known about the key: the request was never sent or was refused, or no readable response arrived. */
  | { readonly kind: 'failed' };

/** Outcome of listing all entries below a prefix. */
export type ListResult =
  /** All entries, and the revision from which a watch returns the changes that the list may lack. */
  | {
      readonly kind: 'listed';
      readonly entries: readonly Entry[];
      /** Revision at which the first page was read. */
      readonly revision: Revision;
      /** Revision at which the last page was read: entries may be as new as this. */
      readonly lastRevision: Revision;
      readonly pages: number;
    }
  /** Nothing is known: the pages do not form one consistent list. */
  | { readonly kind: 'inconsistent'; readonly defect: PageDefect }
  /** Nothing is known: the request for a page was never sent or was refused, or had no readable response. */
  | { readonly kind: 'failed' };

/** Outcome of one watch request. */
export type WatchResult =
  /** All changes after the requested revision, up to `revision`, in revision order. */
  | ({ readonly kind: 'watched' } & WatchResponse)
  /** The store has compacted the changes after the requested revision: a new list is needed. */
  | { readonly kind: 'compacted' }
  /** Nothing is known: never sent, refused, or no readable response. The same watch may be retried. */
  | { readonly kind: 'failed' };

/** Outcome of requesting a lease. */
export type LeaseGrantResult =
  /** Granted: the lease started at some moment after the request was sent. */
  | { readonly kind: 'granted'; readonly lease: LeaseId }
  /** The lease may have been granted. An unknown lease has no keys attached and expires by itself. */
  | { readonly kind: 'failed' };

/** Outcome of renewing a lease. */
export type LeaseRenewalResult =
  /** Renewed: the lease's TTL started again at some moment after the request was sent. */
  | { readonly kind: 'renewed' }
  /** Certainly not renewed: the lease has expired, and the keys attached to it have been deleted. */
  | { readonly kind: 'expired' }
  /** The renewal may or may not have been applied: callers may rely on the last confirmed renewal only. */
  | { readonly kind: 'failed' };

/** Statuses with which the store guarantees that a compare-and-swap was not applied; other errors leave it unknown. */
const NOT_APPLIED_STATUSES: readonly number[] = [
  HttpStatus.badRequest,
  HttpStatus.tooManyRequests,
  HttpStatus.serviceUnavailable,
];

/** Interprets the response to a compare-and-swap. */
export function toCompareAndSwapResult(outcome: CallOutcome): CompareAndSwapResult {
  if (outcome.kind === 'unknown') return { kind: 'unknown' };
  if (outcome.kind === 'unsent') return { kind: 'refused' };
  if (outcome.status === HttpStatus.ok) {
    const revision = decodeRevision(outcome.body);
    return revision === null ? { kind: 'unknown' } : { kind: 'done', revision };
  }
  if (outcome.status === HttpStatus.conflict) {
    const failed = decodeConflict(outcome.body);
    return failed === null ? { kind: 'unknown' } : { kind: 'conflict', failed };
  }
  return NOT_APPLIED_STATUSES.includes(outcome.status) ? { kind: 'refused' } : { kind: 'unknown' };
}

/**
 * Interprets the response to a read of `key`. A 404 without a revision does not come from the store but, for example,
 * from a proxy, and an entry of another key belongs to another request: neither says anything about `key`.
 */
export function toReadResult(outcome: CallOutcome, key: StoreKey): ReadResult {
  if (outcome.kind !== 'answer') return { kind: 'failed' };
  if (outcome.status === HttpStatus.notFound && decodeRevision(outcome.body) !== null)
    return { kind: 'absent' };
  const entry = outcome.status === HttpStatus.ok ? decodeEntry(outcome.body) : null;
  return entry && entry.key === key ? { kind: 'found', entry } : { kind: 'failed' };
}

/** Returns one page of a list, or null if the request was never sent or refused, or had no readable response. */
export function toEntryPage(outcome: CallOutcome): EntryPage | null {
  if (outcome.kind !== 'answer' || outcome.status !== HttpStatus.ok) return null;
  return decodePage(outcome.body);
}

/** Interprets the response to a watch. */
export function toWatchResult(outcome: CallOutcome): WatchResult {
  if (outcome.kind !== 'answer') return { kind: 'failed' };
  if (outcome.status === HttpStatus.gone) return { kind: 'compacted' };
  const response = outcome.status === HttpStatus.ok ? decodeWatchResponse(outcome.body) : null;
  return response ? { kind: 'watched', ...response } : { kind: 'failed' };
}

/** Interprets the response to a lease request. */
export function toLeaseGrantResult(outcome: CallOutcome): LeaseGrantResult {
  const answered = outcome.kind === 'answer' && outcome.status === HttpStatus.ok;
  const lease = answered ? decodeLease(outcome.body) : null;
  return lease === null ? { kind: 'failed' } : { kind: 'granted', lease };
}

/** Interprets the response to a lease renewal. */
export function toLeaseRenewalResult(outcome: CallOutcome): LeaseRenewalResult {
  if (outcome.kind !== 'answer') return { kind: 'failed' };
  if (outcome.status === HttpStatus.ok) return { kind: 'renewed' };
  return { kind: outcome.status === HttpStatus.notFound ? 'expired' : 'failed' };
}

/** Whether the server rejected the request for its rate limit: it was certainly not applied and may be retried. */
export const isRateLimited = (outcome: CallOutcome): boolean =>
  outcome.kind === 'answer' && outcome.status === HttpStatus.tooManyRequests;
