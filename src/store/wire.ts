/** The state service's messages, between its words and ours. Whatever does not read as promised is `null`. */
import * as v from 'valibot';
import type { LeaseId, Millis, Revision, StateKey } from '../units.js';

export interface Entry {
  readonly key: StateKey;
  readonly value: unknown;
  readonly version: Revision;
}

export interface Condition {
  readonly key: StateKey;
  /** NO_REVISION: the key must not exist. */
  readonly version: Revision;
}

export type Change =
  | { readonly op: 'put'; readonly key: StateKey; readonly value: unknown; readonly lease?: LeaseId }
  | { readonly op: 'drop'; readonly key: StateKey };

export interface WatchEvent {
  readonly key: StateKey;
  /** undefined: the key was dropped. */
  readonly value: unknown;
  readonly version: Revision;
}

const whole = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const entry = v.object({ path: v.string(), data: v.unknown(), entry: whole });
const page = v.object({
  entries: v.array(entry),
  hasNext: v.optional(v.nullable(v.boolean())),
  ledger: whole,
});
const ledger = v.object({ ledger: whole });
const conflict = v.object({ failed: v.array(v.string()) });
const lease = v.object({ mooring: whole });
const news = v.object({
  ledger: whole,
  news: v.optional(
    v.nullable(
      v.array(
        v.object({
          put: v.optional(v.nullable(v.string())),
          drop: v.optional(v.nullable(v.string())),
          data: v.optional(v.unknown()),
          entry: whole,
        }),
      ),
    ),
  ),
});

function read<S extends v.GenericSchema>(schema: S, body: unknown): v.InferOutput<S> | null {
  const result = v.safeParse(schema, body);
  return result.success ? result.output : null;
}

const toEntry = (raw: v.InferOutput<typeof entry>): Entry => ({
  key: raw.path as StateKey,
  value: raw.data,
  version: raw.entry as Revision,
});

export const keyPath = (key: StateKey): string => `/kv/${encodeURIComponent(key).replaceAll('%2F', '/')}`;

export const listPath = (prefix: string, after: string | null, limit: number): string =>
  `/kv?under=${encodeURIComponent(prefix)}${after === null ? '' : `&from=${encodeURIComponent(after)}`}&most=${limit}`;

export const followPath = (prefix: string, after: Revision, block: Millis): string =>
  `/follow?under=${encodeURIComponent(prefix)}&from=${after}&blockMs=${block}`;

export const encodeTxn = (conditions: readonly Condition[], changes: readonly Change[]): unknown => ({
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
  const raw = read(entry, body);
  return raw && toEntry(raw);
}

export function decodePage(body: unknown): { entries: Entry[]; more: boolean; revision: Revision } | null {
  const raw = read(page, body);
  return (
    raw && { entries: raw.entries.map(toEntry), more: raw.hasNext ?? false, revision: raw.ledger as Revision }
  );
}

export function decodeRevision(body: unknown): Revision | null {
  return (read(ledger, body)?.ledger as Revision | undefined) ?? null;
}

export function decodeConflict(body: unknown): StateKey[] | null {
  return (read(conflict, body)?.failed as StateKey[] | undefined) ?? null;
}

export function decodeLease(body: unknown): LeaseId | null {
  return (read(lease, body)?.mooring as LeaseId | undefined) ?? null;
}

export function decodeNews(body: unknown): { news: WatchEvent[]; revision: Revision } | null {
  const raw = read(news, body);
  if (!raw) return null;
  const out: WatchEvent[] = [];
  for (const n of raw.news ?? []) {
    const key = n.put ?? n.drop;
    if (typeof key !== 'string') return null;
    out.push({
      key: key as StateKey,
      value: typeof n.put === 'string' ? n.data : undefined,
      version: n.entry as Revision,
    });
  }
  return { news: out.sort((a, b) => a.version - b.version), revision: raw.ledger as Revision };
}
