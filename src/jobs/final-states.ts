/**
 * Final states: the changes that end a job, and a cache. A final state never changes, so a remembered one may answer a
 * request without asking the store.
 */
import type { Change } from '../store/wire.js';
import type { JobId } from '../model/units.js';
import { encodeFinalState, finalStateKey, activeJobKey } from './codec.js';
import type { FinalState } from './record.js';

/** Final states that are remembered at most. */
const MAX_ENTRIES = 20_000;

/** The changes of the transaction that ends a job: its record goes, its final state stays for good. */
export const endJobChanges = (id: JobId, state: FinalState): Change[] => [
  { op: 'delete', key: activeJobKey(id) },
  { op: 'put', key: finalStateKey(id), value: encodeFinalState(state) },
];

/** Remembers how the jobs that ended last have ended; the oldest entries are dropped. */
export class FinalStateCache {
  private readonly states = new Map<JobId, FinalState>();

  /** The final state if it is remembered: `undefined` says nothing about the job. */
  get(id: JobId): FinalState | undefined {
    return this.states.get(id);
  }

  /** To be called only with a final state that the store has confirmed. */
  remember(id: JobId, state: FinalState): void {
    this.states.set(id, state);
    if (this.states.size > MAX_ENTRIES) this.states.delete(this.states.keys().next().value as JobId);
  }
}
