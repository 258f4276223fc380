/**
 * Combines the pages of a list into the state at one revision. Pages are read at different revisions, so an earlier
 * page may lack a key that was created before an entry of a later page. A key can be taken for absent only after all
 * changes between the revisions of the first and the last page have been applied.
 */
import type { Revision, StoreKey } from '../model/units.js';
import type { Entry, EntryPage, WatchEvent } from './wire.js';

/** Why a page is not a valid continuation of the list. */
export type PageDefect =
  'keys out of order' | 'revision went back' | 'ended early' | 'entry newer than its page';

/** Collects the pages of one list, in key order. */
export class Listing {
  private readonly byKey = new Map<StoreKey, Entry>();
  private firstRevision: Revision | null = null;
  private latestRevision: Revision | null = null;
  private lastKey: StoreKey | null = null;
  pages = 0;

  /** The next page starts after this key. Null means that it is the first page. */
  get after(): StoreKey | null {
    return this.lastKey;
  }

  get entries(): readonly Entry[] {
    return [...this.byKey.values()];
  }

  /** Revision at which the first page was read: the list contains every change up to it. Null before the first page. */
  get revision(): Revision | null {
    return this.firstRevision;
  }

  /** Revision at which the last page was read: no entry is newer. Null before the first page. */
  get lastRevision(): Revision | null {
    return this.latestRevision;
  }

  /** Adds the next page. Returns null, or the page's defect, in which case the list must be discarded. */
  addPage(page: EntryPage): PageDefect | null {
    const defect = this.findDefect(page);
    if (defect) return defect;
    this.firstRevision ??= page.revision;
    this.latestRevision = page.revision;
    for (const entry of page.entries) this.byKey.set(entry.key, entry);
    this.lastKey = page.entries.at(-1)?.key ?? this.lastKey;
    this.pages += 1;
    return null;
  }

  private findDefect(page: EntryPage): PageDefect | null {
    if (this.latestRevision !== null && page.revision < this.latestRevision) return 'revision went back';
    if (page.hasMore && page.entries.length === 0) return 'ended early';
    let previous = this.lastKey;
    for (const { key, version } of page.entries) {
      if (previous !== null && key <= previous) return 'keys out of order';
      if (version > page.revision) return 'entry newer than its page';
      previous = key;
    }
    return null;
  }
}

/**
 * Returns the entries after the changes, which are in version order. Changes that are older than an entry are ignored.
 */
export function applyChanges(entries: readonly Entry[], events: readonly WatchEvent[]): Entry[] {
  const byKey = new Map(entries.map((entry) => [entry.key, entry]));
  for (const { key, value, version } of events) {
    const known = byKey.get(key);
    if (known && known.version >= version) continue;
    if (value === undefined) byKey.delete(key);
    else byKey.set(key, { key, value, version });
  }
  return [...byKey.values()];
}
