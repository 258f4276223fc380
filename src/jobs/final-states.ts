/**
 * Final states of jobs: the changes that end a job, and a cache. A final state never changes, so a cached one answers a
 * request without a read from the store.
 */
import type { Change } from '../store/wire.js';
import type { JobId } from '../model/units.js';
import { encodeFinalState, finalStateKey, activeJobKey } from './codec.js';
import type { FinalState } from './record.js';

/** Maximum number of cached final states. */
const MAX_ENTRIES = 20_000;

/**
 * Returns the changes of the transaction that ends a job: deletes its record and stores its final state permanently.
 */
export const endJobChanges = (id: JobId, state: FinalState): Change[] => [
  { op: 'delete', key: activeJobKey(id) },
  { op: 'put', key: finalStateKey(id), value: encodeFinalState(state) },
];

/** Caches the final states of recently ended jobs; the oldest entries are evicted. */
export class FinalStateCache {
  private readonly states = new Map<JobId, FinalState>();

  /** Returns the cached final state. `undefined` implies nothing about the job. */
  get(id: JobId): FinalState | undefined {
    return this.states.get(id);
  }

  /** Adds a final state, which must have been confirmed by the store. */
  remember(id: JobId, state: FinalState): void {
    this.states.set(id, state);
    if (this.states.size > MAX_ENTRIES) this.states.delete(this.states.keys().next().value as JobId);
  }
}
