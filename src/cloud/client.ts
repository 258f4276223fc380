/**
 * Client of the cloud: rents, deletes and lists machines within this controller's share of the cloud's rate limit. It says
 * of each request what its caller may conclude and repeats only reads; no method rejects. It relies on the cloud's word
 * that a request to rent with a known idempotency key rents nothing more.
 */
import type { Call, CallOutcome } from '../http/client.js';
import type { Settings } from '../settings/settings.js';
import type { Caller } from '../store/client.js';
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
  /** Certainly not carried out: the cloud has no machine of this type, zone and kind. */
  | { readonly kind: 'no-capacity' }
  /**
   * Maybe carried out: never sent, refused for now, or no readable answer. The same request with the same idempotency key
   * may be sent again and then tells which machines were rented, if any.
   */
  | { readonly kind: 'failed' };

/** How long the answer to a request may take. */
const REQUEST_TIMEOUT = millis(4000);
/** How long a request may be queued for the rate limit. */
const QUEUE_TIMEOUT = millis(3000);
/** The cloud counts its limit by another clock than this one: not all of it is used. */
const USABLE_LIMIT_SHARE = 0.9;
/** The cloud allows bursts of so many seconds' worth. */
const BURST_S = 2;
/** How often a page of the list is asked for, and how far apart. */
const MAX_PAGE_ATTEMPTS = 4;
const PAGE_RETRY_DELAY = millis(1000);

/** The requests to the cloud and their outcomes. */
export class CloudClient {
  private readonly rateLimiter: RateLimiter;

  constructor(
    private readonly transport: Caller,
    private readonly clock: Clock,
    settings: Settings,
  ) {
    const requestsPerS = (settings.cloudRps * USABLE_LIMIT_SHARE) / settings.shards.length;
    this.rateLimiter = new RateLimiter(clock, requestsPerS, Math.max(1, requestsPerS * BURST_S));
  }

  /** The instance types with their present prices; null when nothing is known: never sent, refused or unreadable. */
  async listInstanceTypes(): Promise<InstanceType[] | null> {
    const call: Call = { method: 'GET', path: INSTANCE_TYPES_PATH, timeout: REQUEST_TIMEOUT };
    const outcome = await this.send(call, RequestPriority.submission);
    return isOk(outcome) ? decodeInstanceTypes(outcome.body) : null;
  }

  /** Rents machines, at most as many as asked for. */
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
   * Deletes machines, unknown ones included. True: carried out, the machines and all that ran on them are gone. False:
   * maybe carried out for some or all of them, and may be repeated; so too for more than
   * `MAX_MACHINES_PER_SCALE_IN`, of which only the first ones are sent.
   */
  async scaleIn(ids: readonly MachineId[]): Promise<boolean> {
    const body = encodeScaleIn(ids.slice(0, MAX_MACHINES_PER_SCALE_IN));
    const call: Call = { method: 'POST', path: SCALE_IN_PATH, body, timeout: REQUEST_TIMEOUT };
    const outcome = await this.send(call, RequestPriority.leadership);
    return isOk(outcome) && ids.length <= MAX_MACHINES_PER_SCALE_IN;
  }

  /**
   * Every machine that the cloud lists, read page by page; the list lags behind. Null when a page could not be read: what
   * was read until then is no basis for concluding that a machine is missing.
   */
  async listMachines(): Promise<ListedMachine[] | null> {
    const all: ListedMachine[] = [];
    let after: MachineId | null = null;
    for (;;) {
      const page = await this.listPage(after);
      if (!page) return null;
      all.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.more || !last) return all;
      after = last.id;
    }
  }

  /** A long list takes many pages, and other requests go first: one page that had no turn must not end it. */
  private async listPage(after: MachineId | null): Promise<MachinePage | null> {
    for (let attempt = 1; attempt <= MAX_PAGE_ATTEMPTS; attempt += 1) {
      const call: Call = { method: 'GET', path: listMachinesPath(after), timeout: REQUEST_TIMEOUT };
      const outcome = await this.send(call, RequestPriority.handOver);
      if (isOk(outcome)) return decodeMachineList(outcome.body);
      // During an outage, which the cloud answers with an error, there is no point in asking for the rest of the list.
      if (outcome.kind === 'answer' && !isRateLimited(outcome)) return null;
      await sleep(this.clock, PAGE_RETRY_DELAY);
    }
    return null;
  }

  /** One attempt within the rate limit; `unsent`: it had no turn in time, or no connection came about. */
  private async send(call: Call, priority: RequestPriority): Promise<CallOutcome> {
    if (!(await this.rateLimiter.acquire(1, priority, QUEUE_TIMEOUT))) return { kind: 'unsent' };
    const outcome = await this.transport.call(call);
    if (isRateLimited(outcome)) this.rateLimiter.penalize();
    return outcome;
  }
}

/** An answer that says that the request was carried out. */
type OkAnswer = Extract<CallOutcome, { kind: 'answer' }> & { readonly status: typeof HttpStatus.ok };

function isOk(outcome: CallOutcome): outcome is OkAnswer {
  return outcome.kind === 'answer' && outcome.status === HttpStatus.ok;
}
