/** The cloud: rents machines by type, zone and kind, boots them, lists them late, and takes spot machines back. */
import type { Call } from '../http/client.js';
import type { EventQueue } from './clock.js';
import type { Response } from './network.js';
import type { RandomStream } from './random.js';
import { RateLimit, type Reply } from './state-service.js';
import type { Trace } from './trace.js';

export interface CloudType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

export interface CloudOptions {
  readonly types: readonly CloudType[];
  readonly rps: number;
  readonly listLagS: number;
  /** Machines to be had of each type, zone and kind. */
  readonly capacity: number;
}

export interface CloudMachine {
  readonly id: string;
  readonly type: CloudType;
  readonly zone: string;
  readonly spot: boolean;
  readonly endpoint: string;
  readonly rentedAt: number;
  upAt: number;
  /** Stopped on its own, with all that was on it. */
  failedAt: number;
  /** Deleted or taken. */
  goneAt: number;
}

interface RentBody {
  readonly charter: string;
  readonly hull: string;
  readonly harbor: string;
  readonly driftboats: boolean;
  readonly number: number;
}

const MOST_RENTED = 50;
const MOST_DELETED = 100;
const FAILURE_LISTED_AFTER_MS = 30_000;
const STRAGGLERS = 0.04;
const NEVER_UP = 0.01;
const UP_BEFORE_MS = 600_000;
const RESPONSE_MS = { low: 30, high: 150 };

export class Cloud {
  readonly machines = new Map<string, CloudMachine>();
  outage = false;
  /** Machines are up within a second or two. */
  fastBoots = false;
  /** Share of rentals and deletions that get no answer and are carried out later. */
  lateShare = 0;
  /** Refuses rentals while set. */
  exhausted = false;
  private readonly charters = new Map<string, string[]>();
  private readonly rate: RateLimit;

  constructor(
    private readonly queue: EventQueue,
    private readonly options: CloudOptions,
    private readonly random: RandomStream,
    private readonly trace: Trace,
    private readonly onUp: (machine: CloudMachine) => void,
    private readonly onGone: (machine: CloudMachine) => void,
  ) {
    this.rate = new RateLimit(queue, options.rps, 2);
  }

  get types(): readonly CloudType[] {
    return this.options.types;
  }

  serve(call: Call, reply: Reply): void {
    const delay = this.random.between(RESPONSE_MS.low, RESPONSE_MS.high);
    this.queue.after(delay, () => {
      const response = this.handle(call);
      if (response) reply(response);
    });
  }

  private handle(call: Call): Response | null {
    if (!this.rate.take(1)) return { status: 429, body: {} };
    if (this.outage) return { status: 503, body: { error: 'trouble' } };
    const url = new URL(call.path, 'http://cloud');
    if (url.pathname === '/catalog')
      return { status: 200, body: { hulls: this.options.types.map(describeType) } };
    if (call.method === 'GET') return this.list(url);
    const carryOut = (): Response =>
      url.pathname === '/hosts/delete'
        ? this.remove(call.body as { berths: string[] })
        : this.rent(call.body as RentBody);
    if (!this.random.chance(this.lateShare)) return carryOut();
    this.queue.after(this.random.between(2000, 12_000), carryOut);
    return null;
  }

  private rent(body: RentBody): Response {
    const known = this.charters.get(body.charter);
    if (known) return { status: 200, body: { berths: known } };
    const type = this.options.types.find((t) => t.name === body.hull);
    const valid = type?.zones.includes(body.harbor) && body.number >= 1 && body.number <= MOST_RENTED;
    if (!type || !valid) return { status: 400, body: { error: 'malformed' } };
    const rented = [...this.machines.values()].filter(
      (m) => m.goneAt === Infinity && m.type === type && m.zone === body.harbor && m.spot === body.driftboats,
    ).length;
    const count = Math.min(body.number, this.options.capacity - rented);
    if (count <= 0 || this.exhausted) return { status: 503, body: { error: 'no capacity' } };
    const berths = Array.from({ length: count }, () => this.create(type, body.harbor, body.driftboats).id);
    this.charters.set(body.charter, berths);
    this.trace.add(
      `cloud rents ${berths.join(' ')} (${type.name}, ${body.harbor}${body.driftboats ? ', spot' : ''})`,
    );
    return { status: 200, body: { berths } };
  }

  /** A machine that boots by itself, as long as its type takes; or one of the start, up after `bootMs`. */
  create(type: CloudType, zone: string, spot: boolean, bootMs: number | null = null): CloudMachine {
    // Machines that are up at the start were rented long before.
    const age = bootMs === null ? 0 : UP_BEFORE_MS;
    const number = this.machines.size;
    const machine: CloudMachine = {
      id: `m-${String(number).padStart(6, '0')}`,
      type,
      zone,
      spot,
      endpoint: `10.1.${Math.floor(number / 250)}.${number % 250}:9000`,
      rentedAt: this.queue.now - age,
      upAt: Infinity,
      failedAt: Infinity,
      goneAt: Infinity,
    };
    this.machines.set(machine.id, machine);
    const boot = bootMs ?? this.bootTime(type);
    if (Number.isFinite(boot)) this.queue.after(boot, () => this.boot(machine));
    return machine;
  }

  private bootTime(type: CloudType): number {
    if (this.random.chance(NEVER_UP)) return Infinity;
    if (this.fastBoots) return this.random.between(300, 2000);
    const straggles = this.random.chance(STRAGGLERS) ? this.random.between(2, 4) : 1;
    return type.bootS * 1000 * this.random.between(0.6, 1.5) * straggles;
  }

  private boot(machine: CloudMachine): void {
    if (machine.goneAt !== Infinity) return;
    machine.upAt = this.queue.now;
    this.trace.add(`${machine.id} is up`);
    this.onUp(machine);
  }

  private remove(body: { berths: string[] }): Response {
    if (body.berths.length > MOST_DELETED) return { status: 400, body: {} };
    for (const id of body.berths) {
      const machine = this.machines.get(id);
      if (!machine || machine.goneAt !== Infinity) continue;
      machine.goneAt = this.queue.now;
      this.trace.add(`${id} is deleted`);
      this.onGone(machine);
    }
    return { status: 200, body: {} };
  }

  /** The machine stops on its own. */
  fail(machine: CloudMachine): void {
    if (machine.goneAt !== Infinity || machine.failedAt !== Infinity) return;
    machine.failedAt = this.queue.now;
    this.trace.add(`${machine.id} fails`);
    this.onGone(machine);
  }

  /** The cloud takes a spot machine back. */
  take(machine: CloudMachine): void {
    if (machine.goneAt !== Infinity) return;
    machine.goneAt = this.queue.now;
    this.trace.add(`${machine.id} is taken back`);
    this.onGone(machine);
  }

  /** As things stood some time ago; a list may be older than the one before it. */
  private list(url: URL): Response {
    const lag = this.options.listLagS * 1000;
    const at = this.queue.now - lag * this.random.between(0.5, this.random.chance(0.2) ? 2 : 1.2);
    const after = url.searchParams.get('from') ?? '';
    const most = Math.min(500, Number(url.searchParams.get('most') ?? 500));
    const listed = [...this.machines.values()].filter(
      (m) => m.id > after && m.rentedAt <= at && at < m.goneAt,
    );
    const berths = listed.slice(0, most).map((m) => describeMachine(m, at));
    return { status: 200, body: { berths, hasNext: listed.length > most } };
  }
}

function describeMachine(m: CloudMachine, at: number): object {
  const failed = at > m.failedAt + FAILURE_LISTED_AFTER_MS;
  return {
    uid: m.id,
    endpoint: m.endpoint,
    hull: m.type.name,
    harbor: m.zone,
    driftboats: m.spot,
    status: failed ? 'failed' : at < m.upAt ? 'starting' : 'running',
    ageS: (at - m.rentedAt) / 1000,
  };
}

const describeType = (t: CloudType): object => ({
  name: t.name,
  vcpus: t.cpus,
  cards: t.gpus,
  memoryGb: t.memoryGb,
  cacheGb: t.cacheGb,
  pullGbPerS: t.fetchGbPerS,
  rate: t.price,
  lowPrice: t.spotPrice,
  startupS: t.bootS,
  harbors: t.zones,
});
