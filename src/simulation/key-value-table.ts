/** In-memory key-value store with revisions, leases and a history of recent changes; independent of time and faults. */

/** Value of a key, the revision that wrote it and its lease, with the field names of the HTTP interface. */
export interface Row {
  readonly data: unknown;
  readonly entry: number;
  readonly mooring: number | undefined;
}

/** A change of one key, with the field names of a watch's answer; `entry` is its revision. */
export interface StoredChange {
  readonly put?: string;
  readonly drop?: string;
  readonly data?: unknown;
  readonly entry: number;
}

/** Body of a transaction request, with the field names of PROTOCOL. */
export interface TransactionBody {
  readonly when?: readonly { readonly path: string; readonly entry: number }[];
  readonly apply?: readonly {
    readonly put?: string;
    readonly drop?: string;
    readonly data?: unknown;
    readonly mooring?: number;
  }[];
}

/** Result of a transaction: applied, rejected by its conditions, or rejected because its lease does not exist. */
export type TransactionResult =
  | { readonly kind: 'done'; readonly ledger: number }
  | { readonly kind: 'conflict'; readonly failed: readonly string[]; readonly ledger: number }
  | { readonly kind: 'no-lease' };

const MIN_KEPT_CHANGES = 10_000;

/** Keys, leases and recent changes; every call takes effect immediately. */
export class KeyValueTable {
  readonly rows = new Map<string, Row>();
  readonly leases = new Set<number>();
  revision = 0;
  private nextLease = 1;
  /** Minimum number of recent changes that are kept for watches. */
  minKeptChanges = MIN_KEPT_CHANGES;
  private history: StoredChange[] = [];
  /** Changes up to this revision have been discarded. */
  private compactedRevision = 0;

  constructor(private readonly checkConditions: boolean) {}

  transact(body: TransactionBody): TransactionResult {
    const apply = body.apply ?? [];
    for (const change of apply) {
      if (change.put !== undefined && change.mooring !== undefined && !this.leases.has(change.mooring))
        return { kind: 'no-lease' };
    }
    const failed = (body.when ?? [])
      .filter((c) => (this.rows.get(c.path)?.entry ?? 0) !== c.entry)
      .map((c) => c.path);
    if (failed.length > 0 && this.checkConditions) return { kind: 'conflict', failed, ledger: this.revision };
    if (apply.length > 0) this.revision += 1;
    for (const change of apply) {
      if (change.put !== undefined) this.put(change.put, change.data, change.mooring);
      else if (change.drop !== undefined) this.drop(change.drop);
    }
    return { kind: 'done', ledger: this.revision };
  }

  private put(key: string, data: unknown, mooring: number | undefined): void {
    this.rows.set(key, { data, entry: this.revision, mooring });
    this.appendToHistory({ put: key, data, entry: this.revision });
  }

  private drop(key: string): void {
    if (this.rows.delete(key)) this.appendToHistory({ drop: key, entry: this.revision });
  }

  private appendToHistory(change: StoredChange): void {
    this.history.push(change);
    if (this.history.length < 2 * this.minKeptChanges) return;
    const discarded = this.history.splice(0, this.history.length - this.minKeptChanges);
    this.compactedRevision = discarded.at(-1)?.entry ?? this.compactedRevision;
  }

  grantLease(): number {
    const id = this.nextLease;
    this.nextLease += 1;
    this.leases.add(id);
    return id;
  }

  /** Ends a lease and deletes the keys attached to it. */
  endLease(id: number): void {
    if (!this.leases.delete(id)) return;
    const keys = [...this.rows].filter(([, row]) => row.mooring === id).map(([key]) => key);
    if (keys.length > 0) this.revision += 1;
    for (const key of keys) this.drop(key);
  }

  list(prefix: string, after: string, limit: number): { keys: string[]; more: boolean } {
    const keys = [...this.rows.keys()].filter((k) => k.startsWith(prefix) && k > after).sort();
    return { keys: keys.slice(0, limit), more: keys.length > limit };
  }

  /** Returns the changes after `revision` of keys with the prefix, or null if they have been discarded. */
  changesAfter(prefix: string, revision: number): StoredChange[] | null {
    if (revision < this.compactedRevision) return null;
    let first = this.history.length;
    while (first > 0 && (this.history[first - 1]?.entry ?? 0) > revision) first -= 1;
    return this.history.slice(first).filter((c) => (c.put ?? c.drop ?? '').startsWith(prefix));
  }
}
