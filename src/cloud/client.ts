/** Client of the cloud: rents, returns and lists machines within this controller's share of the limit. */
import type { Outcome } from '../http/client.js';
import type { Settings } from '../settings/settings.js';
import { RateLimiter, RequestPriority } from '../store/rate-limiter.js';
import type { Caller } from '../store/client.js';
import type { Clock, MachineId } from '../model/units.js';
import { millis } from '../model/units.js';
import {
  decodeCatalog,
  decodeListed,
  decodeRented,
  encodeRent,
  encodeReturn,
  listMachinesPath,
  type Listed,
  type MachineType,
  type RentRequest,
} from './wire.js';

export type RentResult =
  | { readonly kind: 'rented'; readonly machines: readonly MachineId[] }
  | { readonly kind: 'no-capacity' }
  /** Unclear or refused for now: the same request, by the same name, may be sent again. */
  | { readonly kind: 'failed' };

const TIMEOUT = millis(4000);
const PATIENCE = millis(3000);
/** How often a page of the list is asked for, and how far apart. */
const PAGE_TRIES = 4;
const PAGE_RETRY = millis(1000);

export class CloudClient {
  private readonly budget: RateLimiter;

  constructor(
    private readonly http: Caller,
    private readonly clock: Clock,
    settings: Settings,
  ) {
    const share = (settings.cloudRps * 0.9) / settings.parts.length;
    this.budget = new RateLimiter(clock, share, Math.max(1, share * 2));
  }

  private async request(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
    rank: RequestPriority,
  ): Promise<Outcome> {
    if (!(await this.budget.acquire(1, rank, PATIENCE))) return { kind: 'unsent' };
    const outcome = await this.http.call({
      method,
      path,
      ...(body === undefined ? {} : { body }),
      timeout: TIMEOUT,
    });
    if (outcome.kind === 'answer' && outcome.status === 429) this.budget.penalize();
    return outcome;
  }

  async catalog(): Promise<MachineType[] | null> {
    const outcome = await this.request('GET', '/catalog', undefined, RequestPriority.submission);
    return outcome.kind === 'answer' && outcome.status === 200 ? decodeCatalog(outcome.body) : null;
  }

  async rent(request: RentRequest): Promise<RentResult> {
    const outcome = await this.request('POST', '/hosts', encodeRent(request), RequestPriority.submission);
    if (outcome.kind !== 'answer') return { kind: 'failed' };
    if (outcome.status === 200) {
      const machines = decodeRented(outcome.body);
      return machines ? { kind: 'rented', machines } : { kind: 'failed' };
    }
    const error = (outcome.body as { error?: unknown } | null)?.error;
    return outcome.status === 503 && error === 'no capacity' ? { kind: 'no-capacity' } : { kind: 'failed' };
  }

  /** True: the machines and all that was on them are gone. */
  async giveBack(ids: readonly MachineId[]): Promise<boolean> {
    const outcome = await this.request(
      'POST',
      '/hosts/delete',
      encodeReturn(ids.slice(0, 100)),
      RequestPriority.leadership,
    );
    return outcome.kind === 'answer' && outcome.status === 200 && ids.length <= 100;
  }

  /** A long list takes many pages, and other calls go first: one page that had no turn must not end it. */
  private async listPage(after: MachineId | null): Promise<ReturnType<typeof decodeListed>> {
    for (let tries = 1; tries <= PAGE_TRIES; tries += 1) {
      const outcome = await this.request('GET', listMachinesPath(after), undefined, RequestPriority.handOver);
      if (outcome.kind === 'answer' && outcome.status === 200) return decodeListed(outcome.body);
      // In an outage there is no point in asking again for the rest of the list.
      if (outcome.kind === 'answer' && outcome.status !== 429) return null;
      await new Promise<void>((resolve) => this.clock.after(PAGE_RETRY, resolve));
    }
    return null;
  }

  /** Every machine there is, page by page. */
  async list(): Promise<Listed[] | null> {
    const all: Listed[] = [];
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
