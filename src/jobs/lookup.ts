/** Looks a single job up in the state service. */
import { RequestPriority } from '../store/rate-limiter.js';
import type { JobId } from '../model/units.js';
import type { StateAccess } from './dependencies.js';
import type { FinalStateCache } from './final-states.js';
import { decodeFinal, decodeRecord, finalKey, liveKey } from './codec.js';
import type { FinalState, JobRecord } from './record.js';

/** What the state service says of a job now. */
export type JobLookup =
  | { readonly kind: 'active'; readonly record: JobRecord }
  | { readonly kind: 'ended'; readonly state: FinalState }
  | { readonly kind: 'absent' }
  /** The state service did not say, or its record cannot be read. */
  | { readonly kind: 'unknown' };

/** Reads job records and final states from the store, and passes on to the view what it finds. */
export class JobReader {
  constructor(
    private readonly access: StateAccess,
    private readonly finalStates: FinalStateCache,
  ) {}

  /** Reads the record, then the final state: a job that ends in between is found by the second read. */
  async read(id: JobId): Promise<JobLookup> {
    const { store: state, storeCache: view } = this.access;
    const live = await state.get(liveKey(id), RequestPriority.submission);
    if (live.kind === 'failed') return { kind: 'unknown' };
    if (live.kind === 'found') {
      const record = decodeRecord(live.entry.value);
      await this.access.exclusive(() => view.apply(live.entry.key, live.entry.value, live.entry.version));
      return record ? { kind: 'active', record } : { kind: 'unknown' };
    }
    return this.readFinal(id);
  }

  /** Reads the final state only: `absent` does not say that the job is not active. */
  async readFinal(id: JobId): Promise<JobLookup> {
    const final = await this.access.store.get(finalKey(id), RequestPriority.submission);
    if (final.kind === 'failed') return { kind: 'unknown' };
    if (final.kind === 'absent') return { kind: 'absent' };
    const state = decodeFinal(final.entry.value);
    if (!state) return { kind: 'unknown' };
    this.finalStates.remember(id, state);
    return { kind: 'ended', state };
  }
}
