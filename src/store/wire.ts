/**
 * Encodes requests to the key-value store and decodes its responses. This is the only module that knows the store's
 * paths and field names. Decoders return null for a body that does not have the documented form. The module sends
 * nothing.
 */
import * as v from 'valibot';
import type { LeaseId, Millis, Revision, StoreKey } from '../model/units.js';

/** A key, its value, and the revision of the last write to it. */
export interface Entry {
  readonly key: StoreKey;
  readonly value: unknown;
  readonly version: Revision;
}

/** Precondition of a compare-and-swap: the key must have exactly this version. */
export interface Condition {
  readonly key: StoreKey;
  /** `NO_REVISION` means that the key must not exist. */
  readonly version: Revision;
}

/** One change of a compare-and-swap. A key that was put with a `lease` is deleted when the lease expires. */
export type Change =
  | { readonly op: 'put'; readonly key: StoreKey; readonly value: unknown; readonly lease?: LeaseId }
  | { readonly op: 'delete'; readonly key: StoreKey };

/** One change reported by a watch; `version` is the revision of the change. */
export interface WatchEvent {
  readonly key: StoreKey;
  /** Undefined if the key was deleted. */
  readonly value: unknown;
  readonly version: Revision;
}

/** One page of a list, in key order. */
export interface EntryPage {
  readonly entries: readonly Entry[];
  /** Whether more entries follow the last entry of this page. */
  readonly hasMore: boolean;
  /** The store's revision when the page was read. */
  readonly revision: Revision;
}

/** The changes reported by a watch, in version order and complete up to `revision`. */
export interface WatchResponse {
  readonly events: readonly WatchEvent[];
  readonly revision: Revision;
}

/** Path of compare-and-swap requests. */
export const COMPARE_AND_SWAP_PATH = '/txn';
/** Path of lease requests. */
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

/** Returns the parsed body, or null if it does not match the schema. */
function parseBody<S extends v.GenericSchema>(schema: S, body: unknown): v.InferOutput<S> | null {
  const result = v.safeParse(schema, body);
  return result.success ? result.output : null;
}

const toEntry = (raw: v.InferOutput<typeof entrySchema>): Entry => ({
  key: raw.path as StoreKey,
  value: raw.data,
  version: raw.entry as Revision,
});

/** Path of one key; slashes in the key are not escaped. */
export const keyPath = (key: StoreKey): string => `/kv/${encodeURIComponent(key).replaceAll('%2F', '/')}`;

/** Path of one page below a prefix: at most `limit` entries after the key `after`, or from the first entry if null. */
export const listPath = (prefix: string, after: string | null, limit: number): string =>
  `/kv?under=${encodeURIComponent(prefix)}${after === null ? '' : `&from=${encodeURIComponent(after)}`}&most=${limit}`;

/**
 * Path of a watch for changes below a prefix after a revision. Without changes, the store responds after `blockFor`.
 */
export const watchPath = (prefix: string, after: Revision, blockFor: Millis): string =>
  `/follow?under=${encodeURIComponent(prefix)}&from=${after}&blockMs=${blockFor}`;

/** Path of the renewal of a lease. */
export const renewLeasePath = (lease: LeaseId): string => `/leases/${lease}/renew`;

/** Encodes the body of a compare-and-swap. Without changes, the request only checks the conditions. */
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

/** Encodes the body of a request for a lease that expires `ttl` after its last renewal. */
export const encodeTtl = (ttl: Millis): unknown => ({ ttlMs: ttl });

/** Decodes the response to a read of one key. */
export function decodeEntry(body: unknown): Entry | null {
  const raw = parseBody(entrySchema, body);
  return raw && toEntry(raw);
}

/** Decodes one page of a list. */
export function decodePage(body: unknown): EntryPage | null {
  const raw = parseBody(pageSchema, body);
  return (
    raw && {
      entries: raw.entries.map(toEntry),
      hasMore: raw.hasNext ?? false,
      revision: raw.ledger as Revision,
    }
  );
}

/** Decodes the revision at which a compare-and-swap was committed, or at which a key was found absent. */
export function decodeRevision(body: unknown): Revision | null {
  return (parseBody(revisionSchema, body)?.ledger as Revision | undefined) ?? null;
}

/** Decodes the keys whose conditions did not hold. */
export function decodeConflict(body: unknown): StoreKey[] | null {
  return (parseBody(conflictSchema, body)?.failed as StoreKey[] | undefined) ?? null;
}

/** Decodes the granted lease. */
export function decodeLease(body: unknown): LeaseId | null {
  return (parseBody(leaseSchema, body)?.mooring as LeaseId | undefined) ?? null;
}

/** Decodes the response to a watch and sorts its changes by version. */
export function decodeWatchResponse(body: unknown): WatchResponse | null {
  const raw = parseBody(watchResponseSchema, body);
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
