/** The state service's messages, between its words and ours. Whatever does not read as promised is `null`. */
import * as v from 'valibot';
import type { LeaseId, Millis, Revision, StoreKey } from '../model/units.js';

export interface Entry {
  readonly key: StoreKey;
  readonly value: unknown;
  readonly version: Revision;
}

export interface Condition {
  readonly key: StoreKey;
  /** NO_REVISION: the key must not exist. */
  readonly version: Revision;
}

export type Change =
  | { readonly op: 'put'; readonly key: StoreKey; readonly value: unknown; readonly lease?: LeaseId }
  | { readonly op: 'drop'; readonly key: StoreKey };

export interface WatchEvent {
  readonly key: StoreKey;
  /** undefined: the key was dropped. */
  readonly value: unknown;
  readonly version: Revision;
}

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

function read<S extends v.GenericSchema>(schema: S, body: unknown): v.InferOutput<S> | null {
  const result = v.safeParse(schema, body);
  return result.success ? result.output : null;
}

const toEntry = (raw: v.InferOutput<typeof entrySchema>): Entry => ({
  key: raw.path as StoreKey,
  value: raw.data,
  version: raw.entry as Revision,
});

export const keyPath = (key: StoreKey): string => `/kv/${encodeURIComponent(key).replaceAll('%2F', '/')}`;

export const listPath = (prefix: string, after: string | null, limit: number): string =>
  `/kv?under=${encodeURIComponent(prefix)}${after === null ? '' : `&from=${encodeURIComponent(after)}`}&most=${limit}`;

export const watchPath = (prefix: string, after: Revision, blockFor: Millis): string =>
  `/follow?under=${encodeURIComponent(prefix)}&from=${after}&blockMs=${blockFor}`;

export const encodeCompareAndSwap = (
  conditions: readonly Condition[],
  changes: readonly Change[],
): unknown => ({
  when: conditions.map((c) => ({ path: c.key, entry: c.version })),
  ...(changes.length === 0
    ? {}
    : {
        apply: changes.map((c) =>
          c.op === 'drop'
            ? { drop: c.key }
            : { put: c.key, data: c.value, ...(c.lease === undefined ? {} : { mooring: c.lease }) },
        ),
      }),
});

export const encodeTtl = (ttl: Millis): unknown => ({ ttlMs: ttl });

export function decodeEntry(body: unknown): Entry | null {
  const raw = read(entrySchema, body);
  return raw && toEntry(raw);
}

export function decodePage(body: unknown): { entries: Entry[]; more: boolean; revision: Revision } | null {
  const raw = read(pageSchema, body);
  return (
    raw && { entries: raw.entries.map(toEntry), more: raw.hasNext ?? false, revision: raw.ledger as Revision }
  );
}

export function decodeRevision(body: unknown): Revision | null {
  return (read(revisionSchema, body)?.ledger as Revision | undefined) ?? null;
}

export function decodeConflict(body: unknown): StoreKey[] | null {
  return (read(conflictSchema, body)?.failed as StoreKey[] | undefined) ?? null;
}

export function decodeLease(body: unknown): LeaseId | null {
  return (read(leaseSchema, body)?.mooring as LeaseId | undefined) ?? null;
}

export function decodeWatchResponse(body: unknown): { events: WatchEvent[]; revision: Revision } | null {
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
