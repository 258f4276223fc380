/** Cancels jobs: one transaction drops the record and writes the final state. */
import type { HttpResponse } from '../http/server.js';
import type { Log } from '../logging/log.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { JobId, Revision } from '../model/units.js';
import { NO_REVISION } from '../model/units.js';
import type { ActiveJobs, StoreAccess } from './dependencies.js';
import { endJobChanges, type FinalStateCache } from './final-states.js';
import type { JobReader } from './lookup.js';
import { finalStateKey, activeJobKey } from './codec.js';
import { existingJobAnswer, NOT_FOUND, UNAVAILABLE } from './responses.js';

/** How often a cancellation is tried when the record changes under it or an outcome is unknown. */
const MAX_TRIES = 5;

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
      const useCachedVersion = this.activeJobs.has(id) && attempt === 0;
      const version = useCachedVersion ? this.access.storeCache.version(activeJobKey(id)) : NO_REVISION;
      const answer =
        version === NO_REVISION ? await this.readAndCancel(id) : await this.cancelAt(id, version);
      if (answer) return answer;
    }
    return UNAVAILABLE;
  }

  private async readAndCancel(id: JobId): Promise<HttpResponse | null> {
    const lookup = await this.reader.read(id);
    if (lookup.kind === 'unknown') return UNAVAILABLE;
    if (lookup.kind === 'absent') return NOT_FOUND;
    if (lookup.kind === 'ended') return existingJobAnswer(id, lookup.state);
    // The job ended while the answer was on its way: a drop of a key that is gone would overwrite its final state.
    const version = this.access.storeCache.version(activeJobKey(id));
    return version === NO_REVISION ? null : this.cancelAt(id, version);
  }

  /** null: the record has changed since that version, or the outcome is unknown. */
  private async cancelAt(id: JobId, version: Revision): Promise<HttpResponse | null> {
    // The view may have dropped the job after our read found it live: its end must not be overwritten then.
    const result = await this.access.store.compareAndSwap(
      [
        { key: activeJobKey(id), version },
        { key: finalStateKey(id), version: NO_REVISION },
      ],
      endJobChanges(id, 'cancelled'),
      RequestPriority.cancellation,
    );
    if (result.kind === 'conflict' || result.kind === 'unknown') return null;
    if (result.kind === 'refused') return UNAVAILABLE;
    this.finalStates.remember(id, 'cancelled');
    await this.access.exclusive(() =>
      this.access.storeCache.apply(activeJobKey(id), undefined, result.revision),
    );
    this.announce(id, result.revision);
    this.log.info({ job: id }, 'job cancelled');
    return existingJobAnswer(id, 'cancelled');
  }
}
