/** Looks up a single job in the store. */
import { RequestPriority } from '../store/rate-limiter.js';
import type { JobId } from '../model/units.js';
import type { StoreAccess } from './dependencies.js';
import type { FinalStateCache } from './final-states.js';
import { decodeFinalState, decodeRecord, finalStateKey, activeJobKey } from './codec.js';
import type { FinalState, JobRecord } from './record.js';

/** The current state of a job in the store. */
export type JobLookup =
  | { readonly kind: 'active'; readonly record: JobRecord }
  | { readonly kind: 'ended'; readonly state: FinalState }
  | { readonly kind: 'absent' }
  /** The store did not answer, or the job's record cannot be read. */
  | { readonly kind: 'unknown' };

/** Reads job records and final states from the store, and updates the caches with the results. */
export class JobReader {
  constructor(
    private readonly access: StoreAccess,
    private readonly finalStates: FinalStateCache,
  ) {}

  /**
   * Reads the record first and then the final state, so that a job that ends in between is found by the second read.
   */
  async read(id: JobId): Promise<JobLookup> {
    const { store, storeCache } = this.access;
    const activeRead = await store.get(activeJobKey(id), RequestPriority.submission);
    if (activeRead.kind === 'failed') return { kind: 'unknown' };
    if (activeRead.kind === 'found') {
      const record = decodeRecord(activeRead.entry.value);
      await this.access.exclusive(() =>
        storeCache.apply(activeRead.entry.key, activeRead.entry.value, activeRead.entry.version),
      );
      return record ? { kind: 'active', record } : { kind: 'unknown' };
    }
    return this.readFinal(id);
  }

  /** Reads only the final state. `absent` does not imply that the job is not active. */
  async readFinal(id: JobId): Promise<JobLookup> {
    const finalRead = await this.access.store.get(finalStateKey(id), RequestPriority.submission);
    if (finalRead.kind === 'failed') return { kind: 'unknown' };
    if (finalRead.kind === 'absent') return { kind: 'absent' };
    const state = decodeFinalState(finalRead.entry.value);
    if (!state) return { kind: 'unknown' };
    this.finalStates.remember(id, state);
    return { kind: 'ended', state };
  }
}
