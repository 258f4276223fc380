/**
 * Cancels jobs: one transaction deletes the record and writes the final state, on conditions that prevent overwriting
 * the final state of a job that has already ended.
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

/** Maximum number of attempts, when the record changes concurrently or the outcome of a write is unknown. */
const MAX_ATTEMPTS = 5;

/** The outcome of one attempt. */
type AttemptOutcome =
  | RequestOutcome
  /** The record has changed since it was read, or the outcome is unknown: the next attempt reads it again. */
  | { readonly kind: 'retry' };

const RETRY: AttemptOutcome = { kind: 'retry' };

/** Answers users' requests to cancel a job. */
export class JobCancellation {
  constructor(
    private readonly access: StoreAccess,
    private readonly activeJobs: ActiveJobs,
    private readonly finalStates: FinalStateCache,
    private readonly reader: JobReader,
    private readonly log: Log,
    /** Notifies the peers of a committed cancellation; best effort. */
    private readonly announce: (id: JobId, version: Revision) => void,
  ) {}

  /** Answers 200 only once a final state is committed; also if the job had ended before. */
  async cancel(id: JobId): Promise<HttpResponse> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      // The first attempt skips the read: if the cached version is outdated, the store refuses the write.
      const useCachedVersion = this.activeJobs.has(id) && attempt === 0;
      const version = useCachedVersion ? this.access.storeCache.version(activeJobKey(id)) : NO_REVISION;
      const outcome =
        version === NO_REVISION ? await this.readAndCancel(id) : await this.cancelAt(id, version);
      if (outcome.kind !== 'retry') return responseTo(outcome);
    }
    return responseTo(UNAVAILABLE);
  }

  private async readAndCancel(id: JobId): Promise<AttemptOutcome> {
    const lookup = await this.reader.read(id);
    if (lookup.kind === 'unknown') return UNAVAILABLE;
    if (lookup.kind === 'absent') return NOT_FOUND;
    if (lookup.kind === 'ended') return { kind: 'existing', id, state: lookup.state };
    // The job ended while the read was in flight. With the version of an absent key as its condition, the write would
    // be accepted and overwrite the final state.
    const version = this.access.storeCache.version(activeJobKey(id));
    return version === NO_REVISION ? RETRY : this.cancelAt(id, version);
  }

  /** Cancels the job if its record still has this version. */
  private async cancelAt(id: JobId, version: Revision): Promise<AttemptOutcome> {
    // The second condition keeps the final state of a job that has already ended from being overwritten.
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
