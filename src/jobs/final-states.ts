/** Cache of final states. A final state never changes, so it may be answered from memory. */
import type { JobId } from '../units.js';
import type { FinalState } from './record.js';

const MAX_ENTRIES = 20_000;

/** Remembers how the jobs that ended last have ended; the oldest entries are dropped. */
export class FinalStateCache {
  private readonly states = new Map<JobId, FinalState>();

  /** The final state if it is remembered: `undefined` says nothing about the job. */
  get(id: JobId): FinalState | undefined {
    return this.states.get(id);
  }

  /** To be called only with a final state that the state service has confirmed. */
  remember(id: JobId, state: FinalState): void {
    this.states.set(id, state);
    if (this.states.size > MAX_ENTRIES) this.states.delete(this.states.keys().next().value as JobId);
  }
}
