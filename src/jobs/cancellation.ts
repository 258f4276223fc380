/**
 * Cancels jobs: one transaction drops the record and writes the final state. Relies on the store's conditions: the final
 * state of a job that ended otherwise is never overwritten.
 */
import type { HttpResponse } from '../http/server.js';
import type { Log } from '../logging/log.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { JobId, Revision } from '../model/units.js';
import { NO_REVISION } from '../model/units.js';
import type { ActiveJobs, StoreAccess } from './dependencies.js';
import { endJobChanges, type FinalStateCache } from './final-states.js';
import type { JobReader } from './lookup.js';
import { finalStateKey, activeJobKey } from './codec.js';
import { NOT_FOUND, responseTo, UNAVAILABLE, type RequestOutcome } from './responses.js';

/** How often a cancellation is tried when the record changes under it or an outcome is unknown. */
const MAX_TRIES = 5;

/** What one try came to. */
type TryOutcome =
  | RequestOutcome
  /** The record has changed since it was looked at, or the outcome is unknown: the next try reads it again. */
  | { readonly kind: 'retry' };

const RETRY: TryOutcome = { kind: 'retry' };

/** Answers users' requests to cancel a job. */
export class JobCancellation {
  constructor(
    private readonly access: StoreAccess,
    private readonly activeJobs: ActiveJobs,
    private readonly finalStates: FinalStateCache,
    private readonly reader: JobReader,
    private readonly log: Log,
    /** Tells the peers of a committed cancellation; a hint that may be lost. */
    private readonly announce: (id: JobId, version: Revision) => void,
  ) {}

  /** 200 only once the final state is committed, also when the job had ended before. */
  async cancel(id: JobId): Promise<HttpResponse> {
    for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
      // The first try saves a read: if the cached version is old, the store refuses the write.
      const useCachedVersion = this.activeJobs.has(id) && attempt === 0;
      const version = useCachedVersion ? this.access.storeCache.version(activeJobKey(id)) : NO_REVISION;
      const outcome =
        version === NO_REVISION ? await this.readAndCancel(id) : await this.cancelAt(id, version);
      if (outcome.kind !== 'retry') return responseTo(outcome);
    }
    return responseTo(UNAVAILABLE);
  }

  private async readAndCancel(id: JobId): Promise<TryOutcome> {
    const lookup = await this.reader.read(id);
    if (lookup.kind === 'unknown') return UNAVAILABLE;
    if (lookup.kind === 'absent') return NOT_FOUND;
    if (lookup.kind === 'ended') return { kind: 'existing', id, state: lookup.state };
    // The job ended while the answer was on its way: to drop a key that is absent would overwrite its final state.
    const version = this.access.storeCache.version(activeJobKey(id));
    return version === NO_REVISION ? RETRY : this.cancelAt(id, version);
  }

  /** Cancels the job if its record still has that version. */
  private async cancelAt(id: JobId, version: Revision): Promise<TryOutcome> {
    // The cached version may belong to a job that has ended since: its final state must not be overwritten.
    const result = await this.access.store.compareAndSwap(
      [
        { key: activeJobKey(id), version },
        { key: finalStateKey(id), version: NO_REVISION },
      ],
      endJobChanges(id, 'cancelled'),
      RequestPriority.cancellation,
    );
    if (result.kind === 'conflict' || result.kind === 'unknown') return RETRY;
    if (result.kind === 'refused') return UNAVAILABLE;
    this.finalStates.remember(id, 'cancelled');
    await this.access.exclusive(() =>
      this.access.storeCache.apply(activeJobKey(id), undefined, result.revision),
    );
    this.announce(id, result.revision);
    this.log.info({ job: id }, 'job cancelled');
    return { kind: 'existing', id, state: 'cancelled' };
  }
}
