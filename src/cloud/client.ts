/** Client of the cloud: rents, returns and lists machines within this controller's share of the limit. */
import type { CallOutcome } from '../http/client.js';
import type { Settings } from '../settings/settings.js';
import { RateLimiter, RequestPriority } from '../store/rate-limiter.js';
import type { Caller } from '../store/client.js';
import type { Clock, MachineId } from '../model/units.js';
import { millis } from '../model/units.js';
import {
  decodeInstanceTypes,
  decodeMachineList,
  decodeScaleOut,
  encodeScaleOut,
  encodeScaleIn,
  listMachinesPath,
  type ListedMachine,
  type InstanceType,
  type ScaleOutRequest,
} from './wire.js';

export type ScaleOutResult =
  | { readonly kind: 'rented'; readonly machines: readonly MachineId[] }
  | { readonly kind: 'no-capacity' }
  /** Unclear or refused for now: the same request, by the same name, may be sent again. */
  | { readonly kind: 'failed' };

const REQUEST_TIMEOUT = millis(4000);
const QUEUE_TIMEOUT = millis(3000);
/** How often a page of the list is asked for, and how far apart. */
const MAX_PAGE_ATTEMPTS = 4;
const PAGE_RETRY_DELAY = millis(1000);

export class CloudClient {
  private readonly rateLimiter: RateLimiter;

  constructor(
    private readonly http: Caller,
    private readonly clock: Clock,
    settings: Settings,
  ) {
    const requestsPerS = (settings.cloudRps * 0.9) / settings.shards.length;
    this.rateLimiter = new RateLimiter(clock, requestsPerS, Math.max(1, requestsPerS * 2));
  }

  private async request(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    priority: RequestPriority,
  ): Promise<CallOutcome> {
    if (!(await this.rateLimiter.acquire(1, priority, QUEUE_TIMEOUT))) return { kind: 'unsent' };
    const outcome = await this.http.call({
      method,
      path,
      ...(body === undefined ? {} : { body }),
      timeout: REQUEST_TIMEOUT,
    });
    if (outcome.kind === 'answer' && outcome.status === 429) this.rateLimiter.penalize();
    return outcome;
  }

  async listInstanceTypes(): Promise<InstanceType[] | null> {
    const outcome = await this.request('GET', '/catalog', undefined, RequestPriority.submission);
    return outcome.kind === 'answer' && outcome.status === 200 ? decodeInstanceTypes(outcome.body) : null;
  }

  async scaleOut(request: ScaleOutRequest): Promise<ScaleOutResult> {
    const outcome = await this.request('POST', '/hosts', encodeScaleOut(request), RequestPriority.submission);
    if (outcome.kind !== 'answer') return { kind: 'failed' };
    if (outcome.status === 200) {
      const machines = decodeScaleOut(outcome.body);
      return machines ? { kind: 'rented', machines } : { kind: 'failed' };
    }
    const error = (outcome.body as { error?: unknown } | null)?.error;
    return outcome.status === 503 && error === 'no capacity' ? { kind: 'no-capacity' } : { kind: 'failed' };
  }

  /** True: the machines and all that was on them are gone. */
  async scaleIn(ids: readonly MachineId[]): Promise<boolean> {
    const outcome = await this.request(
      'POST',
      '/hosts/delete',
      encodeScaleIn(ids.slice(0, 100)),
      RequestPriority.leadership,
    );
    return outcome.kind === 'answer' && outcome.status === 200 && ids.length <= 100;
  }

  /** A long list takes many pages, and other calls go first: one page that had no turn must not end it. */
  private async listPage(after: MachineId | null): Promise<ReturnType<typeof decodeMachineList>> {
    for (let attempt = 1; attempt <= MAX_PAGE_ATTEMPTS; attempt += 1) {
      const outcome = await this.request('GET', listMachinesPath(after), undefined, RequestPriority.handOver);
      if (outcome.kind === 'answer' && outcome.status === 200) return decodeMachineList(outcome.body);
      // In an outage there is no point in asking again for the rest of the list.
      if (outcome.kind === 'answer' && outcome.status !== 429) return null;
      await new Promise<void>((resolve) => this.clock.after(PAGE_RETRY_DELAY, resolve));
    }
    return null;
  }

  /** Every machine there is, page by page. */
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
}
