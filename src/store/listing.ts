/**
 * Turns the pages of a list into the state of one revision. Pages are read at several revisions: a key of a later page may
 * be newer than the absence of another key on an earlier one. Only with all changes between the first and the last page
 * does the list say what is absent.
 */
import type { Revision, StoreKey } from '../model/units.js';
import type { Entry, EntryPage, WatchEvent } from './wire.js';

/** Why a page does not continue the list. */
export type PageDefect =
  'keys out of order' | 'revision went back' | 'ended early' | 'entry newer than its page';

/** The pages of one list, in order of key. */
export class Listing {
  private readonly byKey = new Map<StoreKey, Entry>();
  private firstRevision: Revision | null = null;
  private latestRevision: Revision | null = null;
  private lastKey: StoreKey | null = null;
  pages = 0;

  /** Behind which key the next page begins; null: at the beginning. */
  get after(): StoreKey | null {
    return this.lastKey;
  }

  get entries(): readonly Entry[] {
    return [...this.byKey.values()];
  }

  /** At which the first page was read: up to here the list lacks nothing. */
  get revision(): Revision | null {
    return this.firstRevision;
  }

  /** At which the last page was read: no entry is newer. */
  get lastRevision(): Revision | null {
    return this.latestRevision;
  }

  /** Takes in the next page; returns what is wrong with it, and then the list cannot be used. */
  addPage(page: EntryPage): PageDefect | null {
    const defect = this.defectOf(page);
    if (defect) return defect;
    this.firstRevision ??= page.revision;
    this.latestRevision = page.revision;
    for (const entry of page.entries) this.byKey.set(entry.key, entry);
    this.lastKey = page.entries.at(-1)?.key ?? this.lastKey;
    this.pages += 1;
    return null;
  }

  private defectOf(page: EntryPage): PageDefect | null {
    if (this.latestRevision !== null && page.revision < this.latestRevision) return 'revision went back';
    if (page.more && page.entries.length === 0) return 'ended early';
    let previous = this.lastKey;
    for (const { key, version } of page.entries) {
      if (previous !== null && key <= previous) return 'keys out of order';
      if (version > page.revision) return 'entry newer than its page';
      previous = key;
    }
    return null;
  }
}

/** The entries as they are after the changes, which are in order of version; older ones than an entry change nothing. */
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
