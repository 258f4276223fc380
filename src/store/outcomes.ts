/**
 * Outcomes of requests to the key-value store, as its client reports them. Each says what the caller may conclude: that
 * the request was carried out, that it certainly was not and never will be, or that it may have been or still may be.
 * The functions here derive an outcome from what came back over the connection; they send nothing.
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
  /** Carried out: every change holds since this revision. */
  | { readonly kind: 'done'; readonly revision: Revision }
  /** Certainly not carried out: these keys do not have the version that the conditions name. */
  | { readonly kind: 'conflict'; readonly failed: readonly StoreKey[] }
  /** Certainly not carried out: refused by the store, over a rate limit, or never sent. */
  | { readonly kind: 'refused' }
  /** Maybe carried out, now or later: no answer arrived, or none that can be read. */
  | { readonly kind: 'unknown' };

/** Outcome of reading one key. Reads change nothing, so every one may be repeated. */
export type ReadResult =
  /** The key held this entry at some moment after the request. */
  | { readonly kind: 'found'; readonly entry: Entry }
  /** The store says that the key did not exist at some moment after the request. */
  | { readonly kind: 'absent' }
  /** Nothing is known about the key: never sent, refused, or no readable answer. */
  | { readonly kind: 'failed' };

/** Outcome of listing everything below a prefix. */
export type ListResult =
  /** Every entry, with the revision from which a watch sees what the list may lack. */
  | {
      readonly kind: 'listed';
      readonly entries: readonly Entry[];
      /** At which the first page was read. */
      readonly revision: Revision;
      /** At which the last page was read: some entries may be as new as this. */
      readonly lastRevision: Revision;
      readonly pages: number;
    }
  /** Nothing is known: the pages are not those of one list. */
  | { readonly kind: 'inconsistent'; readonly defect: PageDefect }
  /** Nothing is known: a page was never sent, was refused, or had no readable answer. */
  | { readonly kind: 'failed' };

/** Outcome of one watch request. */
export type WatchResult =
  /** Every change after the revision asked for, up to `revision`, in order of revision. */
  | ({ readonly kind: 'watched' } & WatchResponse)
  /** The store no longer keeps the changes after the revision asked for: only a new list shows the present state. */
  | { readonly kind: 'compacted' }
  /** Nothing is known: never sent, refused, or no readable answer. The same watch may be repeated. */
  | { readonly kind: 'failed' };

/** Outcome of asking for a lease. */
export type LeaseGrantResult =
  /** Carried out: the lease runs from some moment after the request. */
  | { readonly kind: 'granted'; readonly lease: LeaseId }
  /** Maybe carried out. A lease granted unseen holds no keys and expires by itself. */
  | { readonly kind: 'failed' };

/** Outcome of renewing a lease. */
export type LeaseRenewalResult =
  /** Carried out: the lease's time starts again at some moment after the request. */
  | { readonly kind: 'renewed' }
  /** Certainly not carried out: the lease has expired, and with it the keys that were bound to it. */
  | { readonly kind: 'expired' }
  /** Maybe carried out: the lease may still run or not, and only its last known renewal counts. */
  | { readonly kind: 'failed' };

/** Statuses of a compare-and-swap that are stated not to be carried out; any other says nothing. */
const NOT_CARRIED_OUT: readonly number[] = [
  HttpStatus.badRequest,
  HttpStatus.tooManyRequests,
  HttpStatus.serviceUnavailable,
];

/** What the answer to a compare-and-swap means. */
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
  return NOT_CARRIED_OUT.includes(outcome.status) ? { kind: 'refused' } : { kind: 'unknown' };
}

/**
 * What the answer to a read of `key` means. A 404 without a revision comes from something other than the store, such as
 * a proxy, and an entry of another key answers another question: neither says anything about the key.
 */
export function toReadResult(outcome: CallOutcome, key: StoreKey): ReadResult {
  if (outcome.kind !== 'answer') return { kind: 'failed' };
  if (outcome.status === HttpStatus.notFound && decodeRevision(outcome.body) !== null)
    return { kind: 'absent' };
  const entry = outcome.status === HttpStatus.ok ? decodeEntry(outcome.body) : null;
  return entry && entry.key === key ? { kind: 'found', entry } : { kind: 'failed' };
}

/** One page of a list; `null` when nothing is known: never sent, refused, or no readable answer. */
export function toEntryPage(outcome: CallOutcome): EntryPage | null {
  if (outcome.kind !== 'answer' || outcome.status !== HttpStatus.ok) return null;
  return decodePage(outcome.body);
}

/** What the answer to a watch means. */
export function toWatchResult(outcome: CallOutcome): WatchResult {
  if (outcome.kind !== 'answer') return { kind: 'failed' };
  if (outcome.status === HttpStatus.gone) return { kind: 'compacted' };
  const response = outcome.status === HttpStatus.ok ? decodeWatchResponse(outcome.body) : null;
  return response ? { kind: 'watched', ...response } : { kind: 'failed' };
}

/** What the answer to a request for a lease means. */
export function toLeaseGrantResult(outcome: CallOutcome): LeaseGrantResult {
  const answered = outcome.kind === 'answer' && outcome.status === HttpStatus.ok;
  const lease = answered ? decodeLease(outcome.body) : null;
  return lease === null ? { kind: 'failed' } : { kind: 'granted', lease };
}

/** What the answer to the renewal of a lease means. */
export function toLeaseRenewalResult(outcome: CallOutcome): LeaseRenewalResult {
  if (outcome.kind !== 'answer') return { kind: 'failed' };
  if (outcome.status === HttpStatus.ok) return { kind: 'renewed' };
  return { kind: outcome.status === HttpStatus.notFound ? 'expired' : 'failed' };
}

/** Whether the other side refused a request for its rate limit: certainly not carried out, and worth a retry. */
export const isRateLimited = (outcome: CallOutcome): boolean =>
  outcome.kind === 'answer' && outcome.status === HttpStatus.tooManyRequests;
