/**
 * Maps requests to the key-value store and its answers to the types of the code: the only module that knows the store's
 * paths and field names. Decoders return null for whatever does not have the documented form; nothing here is sent.
 */
import * as v from 'valibot';
import type { LeaseId, Millis, Revision, StoreKey } from '../model/units.js';

/** A key with its value and the revision at which it was last put. */
export interface Entry {
  readonly key: StoreKey;
  readonly value: unknown;
  readonly version: Revision;
}

/** A key must have exactly this version for a compare-and-swap to be carried out. */
export interface Condition {
  readonly key: StoreKey;
  /** `NO_REVISION`: the key must not exist. */
  readonly version: Revision;
}

/**
 * One change of a compare-and-swap. `put` sets a key, which with a `lease` is deleted when that expires; `delete` deletes
 * it.
 */
export type Change =
  | { readonly op: 'put'; readonly key: StoreKey; readonly value: unknown; readonly lease?: LeaseId }
  | { readonly op: 'delete'; readonly key: StoreKey };

/** One change that a watch saw; `version` is the revision that it made. */
export interface WatchEvent {
  readonly key: StoreKey;
  /** undefined: the key was deleted. */
  readonly value: unknown;
  readonly version: Revision;
}

/** One page of a list, in order of key. */
export interface EntryPage {
  readonly entries: readonly Entry[];
  /** Whether further entries follow the last one here. */
  readonly more: boolean;
  /** The store's revision when the page was read. */
  readonly revision: Revision;
}

/** The changes that a watch saw, in order of version, complete up to `revision`. */
export interface WatchResponse {
  readonly events: readonly WatchEvent[];
  readonly revision: Revision;
}

/** Path of compare-and-swap requests. */
export const COMPARE_AND_SWAP_PATH = '/txn';
/** Path of requests for a lease. */
export const GRANT_LEASE_PATH = '/leases';

const wholeNumber = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const entrySchema = v.object({ path: v.string(), data: v.unknown(), entry: wholeNumber });
const pageSchema = v.object({
  entries: v.array(entrySchema),
  hasNext: v.optional(v.nullable(v.boolean())),
  ledger: wholeNumber,
});
const revisionSchema = v.object({ ledger: wholeNumber });
const conflictSchema = v.object({ failed: v.array(v.string()) });
const leaseSchema = v.object({ mooring: wholeNumber });
const watchResponseSchema = v.object({
  ledger: wholeNumber,
  news: v.optional(
    v.nullable(
      v.array(
        v.object({
          put: v.optional(v.nullable(v.string())),
          drop: v.optional(v.nullable(v.string())),
          data: v.optional(v.unknown()),
          entry: wholeNumber,
        }),
      ),
    ),
  ),
});

/** The body if it has the form of the schema, otherwise null. */
function read<S extends v.GenericSchema>(schema: S, body: unknown): v.InferOutput<S> | null {
  const result = v.safeParse(schema, body);
  return result.success ? result.output : null;
}

const toEntry = (raw: v.InferOutput<typeof entrySchema>): Entry => ({
  key: raw.path as StoreKey,
  value: raw.data,
  version: raw.entry as Revision,
});

/** Path of one key; its slashes stay as they are. */
export const keyPath = (key: StoreKey): string => `/kv/${encodeURIComponent(key).replaceAll('%2F', '/')}`;

/** Path of one page below a prefix: at most `limit` entries behind the key `after`, or from the first one for null. */
export const listPath = (prefix: string, after: string | null, limit: number): string =>
  `/kv?under=${encodeURIComponent(prefix)}${after === null ? '' : `&from=${encodeURIComponent(after)}`}&most=${limit}`;

/** Path of a watch below a prefix, for changes after a revision; it is answered after `blockFor` without any. */
export const watchPath = (prefix: string, after: Revision, blockFor: Millis): string =>
  `/follow?under=${encodeURIComponent(prefix)}&from=${after}&blockMs=${blockFor}`;

/** Path for the renewal of a lease. */
export const renewLeasePath = (lease: LeaseId): string => `/leases/${lease}/renew`;

/** The body of a compare-and-swap; one without changes only checks its conditions. */
export const encodeCompareAndSwap = (
  conditions: readonly Condition[],
  changes: readonly Change[],
): unknown => ({
  when: conditions.map(({ key, version }) => ({ path: key, entry: version })),
  ...(changes.length === 0 ? {} : { apply: changes.map(encodeChange) }),
});

function encodeChange(change: Change): unknown {
  if (change.op === 'delete') return { drop: change.key };
  const { key, value, lease } = change;
  return { put: key, data: value, ...(lease === undefined ? {} : { mooring: lease }) };
}

/** The body of a request for a lease that expires `ttl` after its last renewal. */
export const encodeTtl = (ttl: Millis): unknown => ({ ttlMs: ttl });

/** The entry that a read answers with. */
export function decodeEntry(body: unknown): Entry | null {
  const raw = read(entrySchema, body);
  return raw && toEntry(raw);
}

/** One page of a list. */
export function decodePage(body: unknown): EntryPage | null {
  const raw = read(pageSchema, body);
  return (
    raw && { entries: raw.entries.map(toEntry), more: raw.hasNext ?? false, revision: raw.ledger as Revision }
  );
}

/** The revision of a committed compare-and-swap, or the one at which a key was found absent. */
export function decodeRevision(body: unknown): Revision | null {
  return (read(revisionSchema, body)?.ledger as Revision | undefined) ?? null;
}

/** The keys whose conditions did not hold. */
export function decodeConflict(body: unknown): StoreKey[] | null {
  return (read(conflictSchema, body)?.failed as StoreKey[] | undefined) ?? null;
}

/** The lease that was granted. */
export function decodeLease(body: unknown): LeaseId | null {
  return (read(leaseSchema, body)?.mooring as LeaseId | undefined) ?? null;
}

/** The changes that a watch is answered with, brought into the order of their versions. */
export function decodeWatchResponse(body: unknown): WatchResponse | null {
  const raw = read(watchResponseSchema, body);
  if (!raw) return null;
  const events: WatchEvent[] = [];
  for (const change of raw.news ?? []) {
    const key = change.put ?? change.drop;
    if (typeof key !== 'string') return null;
    events.push({
      key: key as StoreKey,
      value: typeof change.put === 'string' ? change.data : undefined,
      version: change.entry as Revision,
    });
  }
  return { events: events.sort((a, b) => a.version - b.version), revision: raw.ledger as Revision };
}
