/**
 * Client of the cloud: rents, deletes and lists machines within this controller's share of the cloud's rate limit. Each
 * result states what the caller may conclude. Only reads are retried, and no method rejects. The client relies on the
 * guarantee of the cloud that a repeated request with the same idempotency key rents no further machines.
 */
import type { Call, CallOutcome } from '../http/client.js';
import type { Settings } from '../settings/settings.js';
import type { HttpTransport } from '../store/client.js';
import { HttpStatus } from '../store/http-status.js';
import { isRateLimited } from '../store/outcomes.js';
import { RateLimiter, RequestPriority } from '../store/rate-limiter.js';
import { sleep } from '../store/sleep.js';
import type { Clock, MachineId } from '../model/units.js';
import { millis } from '../model/units.js';
import {
  decodeInstanceTypes,
  decodeMachineList,
  decodeScaleOut,
  encodeScaleIn,
  encodeScaleOut,
  INSTANCE_TYPES_PATH,
  isNoCapacity,
  listMachinesPath,
  MAX_MACHINES_PER_SCALE_IN,
  SCALE_IN_PATH,
  SCALE_OUT_PATH,
  type InstanceType,
  type ListedMachine,
  type MachinePage,
  type ScaleOutRequest,
} from './wire.js';

/** Outcome of a request to rent machines. */
export type ScaleOutResult =
  /** Carried out: these machines are rented, which may be fewer than were asked for. */
  | { readonly kind: 'rented'; readonly machines: readonly MachineId[] }
  /** Certainly not carried out: the cloud has no machine of this type in this zone, as spot or on-demand as requested. */
  | { readonly kind: 'no-capacity' }
  /**
   * Maybe carried out: never sent, refused for now, or no readable answer. The request may be repeated with the same
   * idempotency key; its answer then names the machines that were rented, if any.
   */
  | { readonly kind: 'failed' };

/** Timeout for the answer to a request. */
const REQUEST_TIMEOUT = millis(4000);
/** How long a request may wait for the rate limiter. */
const QUEUE_TIMEOUT = millis(3000);
/** Share of the rate limit that is used: the cloud counts its limit by a different clock. */
const USABLE_LIMIT_SHARE = 0.9;
/** The cloud allows bursts of as many requests as its limit allows in this many seconds. */
const BURST_S = 2;
/** Attempts to read a page of the list, and the delay between them. */
const MAX_PAGE_ATTEMPTS = 4;
const PAGE_RETRY_DELAY = millis(1000);

/** Sends requests to the cloud and returns their results. */
export class CloudClient {
  private readonly rateLimiter: RateLimiter;

  constructor(
    private readonly transport: HttpTransport,
    private readonly clock: Clock,
    settings: Settings,
  ) {
    const requestsPerS = (settings.cloudRps * USABLE_LIMIT_SHARE) / settings.shards.length;
    this.rateLimiter = new RateLimiter(clock, requestsPerS, Math.max(1, requestsPerS * BURST_S));
  }

  /** Returns the instance types with their current prices, or null if the request was not sent, refused or unreadable. */
  async listInstanceTypes(): Promise<InstanceType[] | null> {
    const call: Call = { method: 'GET', path: INSTANCE_TYPES_PATH, timeout: REQUEST_TIMEOUT };
    const outcome = await this.send(call, RequestPriority.submission);
    return isOk(outcome) ? decodeInstanceTypes(outcome.body) : null;
  }

  /** Rents machines, at most as many as requested. */
  async scaleOut(request: ScaleOutRequest): Promise<ScaleOutResult> {
    const body = encodeScaleOut(request);
    const call: Call = { method: 'POST', path: SCALE_OUT_PATH, body, timeout: REQUEST_TIMEOUT };
    const outcome = await this.send(call, RequestPriority.submission);
    if (outcome.kind !== 'answer') return { kind: 'failed' };
    if (isOk(outcome)) {
      const machines = decodeScaleOut(outcome.body);
      return machines ? { kind: 'rented', machines } : { kind: 'failed' };
    }
    return { kind: isNoCapacity(outcome.status, outcome.body) ? 'no-capacity' : 'failed' };
  }

  /**
   * Deletes machines; ids that the cloud does not know are allowed. Returns true if the deletion was carried out: the
   * machines and everything that ran on them are gone. Returns false if it may have been carried out for some or all of
   * them; the request may be repeated. Of more than `MAX_MACHINES_PER_SCALE_IN` machines only the first ones are sent,
   * and the result is false.
   */
  async scaleIn(ids: readonly MachineId[]): Promise<boolean> {
    const body = encodeScaleIn(ids.slice(0, MAX_MACHINES_PER_SCALE_IN));
    const call: Call = { method: 'POST', path: SCALE_IN_PATH, body, timeout: REQUEST_TIMEOUT };
    const outcome = await this.send(call, RequestPriority.leadership);
    return isOk(outcome) && ids.length <= MAX_MACHINES_PER_SCALE_IN;
  }

  /**
   * Returns every machine that the cloud lists, read page by page; the list lags behind. Returns null if a page could
   * not be read, as a partial list must not be used to conclude that a machine is missing.
   */
  async listMachines(): Promise<ListedMachine[] | null> {
    const machines: ListedMachine[] = [];
    let after: MachineId | null = null;
    for (;;) {
      const page = await this.listPage(after);
      if (!page) return null;
      machines.push(...page.machines);
      const lastMachine = page.machines.at(-1);
      if (!page.hasMore || !lastMachine) return machines;
      after = lastMachine.id;
    }
  }

  /**
   * Reads one page, with retries: a long list has many pages, and requests with higher priority may delay any of them.
   */
  private async listPage(after: MachineId | null): Promise<MachinePage | null> {
    for (let attempt = 1; attempt <= MAX_PAGE_ATTEMPTS; attempt += 1) {
      const call: Call = { method: 'GET', path: listMachinesPath(after), timeout: REQUEST_TIMEOUT };
      const outcome = await this.send(call, RequestPriority.transfer);
      if (isOk(outcome)) return decodeMachineList(outcome.body);
      // During an outage the cloud answers with an error: retrying or reading the remaining pages is pointless.
      if (outcome.kind === 'answer' && !isRateLimited(outcome)) return null;
      await sleep(this.clock, PAGE_RETRY_DELAY);
    }
    return null;
  }

  /** Sends a request once, within the rate limit. `unsent`: not granted in time, or no connection could be opened. */
  private async send(call: Call, priority: RequestPriority): Promise<CallOutcome> {
    if (!(await this.rateLimiter.acquire(1, priority, QUEUE_TIMEOUT))) return { kind: 'unsent' };
    const outcome = await this.transport.call(call);
    if (isRateLimited(outcome)) this.rateLimiter.penalize();
    return outcome;
  }
}

/** An answer with status 200: the request was carried out. */
type OkAnswer = Extract<CallOutcome, { kind: 'answer' }> & { readonly status: typeof HttpStatus.ok };

function isOk(outcome: CallOutcome): outcome is OkAnswer {
  return outcome.kind === 'answer' && outcome.status === HttpStatus.ok;
}
