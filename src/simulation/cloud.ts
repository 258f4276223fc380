/** Simulated cloud: provisions, boots, lists (with a lag) and deletes machines, and interrupts spot machines. */
import type { Call } from '../http/client.js';
import { HTTP_STATUS } from '../http/status.js';
import type { EventQueue } from './clock.js';
import {
  encodeInstanceType,
  encodeMachine,
  type CloudMachine,
  type SimulatedInstanceType,
} from './cloud-machine.js';
import type { Response } from './network.js';
import type { RandomStream } from './random.js';
import type { Reply } from './store-service.js';
import { TokenBucket } from './token-bucket.js';
import type { Trace } from './trace.js';

/** Catalog and limits of the cloud: `rps` in requests per second; the machine list lags by `listLagS` seconds. */
export interface CloudOptions {
  readonly types: readonly SimulatedInstanceType[];
  readonly rps: number;
  readonly listLagS: number;
  /** Maximum number of machines per type and zone, spot and on-demand each. */
  readonly capacity: number;
  /** First two octets of every machine's address. */
  readonly addressPrefix: string;
}

interface ScaleOutBody {
  readonly charter: string;
  readonly hull: string;
  readonly harbor: string;
  readonly driftboats: boolean;
  readonly number: number;
}

const MAX_MACHINES_PER_SCALE_OUT = 50;
const MAX_MACHINES_PER_SCALE_IN = 100;
const SLOW_BOOT_SHARE = 0.04;
const FAILED_BOOT_SHARE = 0.01;
const INITIAL_MACHINE_AGE_MS = 600_000;
const RESPONSE_DELAY_MS = { low: 30, high: 150 };
const LATE_EXECUTION_DELAY_MS = { low: 2000, high: 12_000 };
const REPEAT_DELAY_MS = { low: 200, high: 30_000 };
const FAST_BOOT_MS = { low: 300, high: 2000 };
/** Factors on the boot time of a machine's type: of every boot, and in addition of slow boots. */
const BOOT_TIME_FACTOR = { low: 0.6, high: 1.5 };
const SLOW_BOOT_FACTOR = { low: 2, high: 4 };
/** Age of a list, as a share of the configured lag; a stale list may reach `STALE_LIST_LAG_SHARE`. */
const MIN_LIST_LAG_SHARE = 0.5;
const MAX_LIST_LAG_SHARE = 1.2;
const STALE_LIST_LAG_SHARE = 2;
const STALE_LIST_PROBABILITY = 0.2;
const MAX_LISTED_MACHINES = 500;
const MACHINES_PER_SUBNET = 250;
/** Burst of the request limit, in seconds' worth of requests. */
const REQUEST_BURST_S = 2;

/** Serves the HTTP interface of the cloud and controls when machines boot, fail and end. */
export class SimulatedCloud {
  readonly machines = new Map<string, CloudMachine>();
  outage = false;
  /** While set, machines boot within two seconds. */
  fastBoots = false;
  /** Share of scale-out and scale-in requests that get no answer and are executed later. */
  lateExecutionShare = 0;
  /** Share of scale-out and scale-in requests that are executed and answered, and executed again later; null: none. */
  repeatedRequests: { readonly share: number; readonly random: RandomStream } | null = null;
  /** While set, scale-out requests are refused. */
  outOfCapacity = false;
  private readonly machinesByIdempotencyKey = new Map<string, string[]>();
  private readonly requestBucket: TokenBucket;

  constructor(
    private readonly queue: EventQueue,
    private readonly options: CloudOptions,
    private readonly random: RandomStream,
    private readonly trace: Trace,
    private readonly onReady: (machine: CloudMachine) => void,
    private readonly onRemoved: (machine: CloudMachine) => void,
  ) {
    this.requestBucket = new TokenBucket(queue, options.rps, REQUEST_BURST_S);
  }

  get types(): readonly SimulatedInstanceType[] {
    return this.options.types;
  }

  serve(call: Call, reply: Reply): void {
    const delay = this.random.within(RESPONSE_DELAY_MS);
    this.queue.after(delay, () => {
      const response = this.handle(call);
      if (response) reply(response);
    });
  }

  private handle(call: Call): Response | null {
    if (!this.requestBucket.take(1)) return { status: HTTP_STATUS.tooManyRequests, body: {} };
    if (this.outage) return { status: HTTP_STATUS.serviceUnavailable, body: { error: 'trouble' } };
    const url = new URL(call.path, 'http://cloud');
    if (url.pathname === '/catalog')
      return { status: HTTP_STATUS.ok, body: { hulls: this.options.types.map(encodeInstanceType) } };
    if (call.method === 'GET') return this.list(url);
    const execute = (): Response =>
      url.pathname === '/hosts/delete'
        ? this.scaleIn(call.body as { berths: string[] })
        : this.scaleOut(call.body as ScaleOutBody);
    if (!this.random.chance(this.lateExecutionShare)) return this.executeAndRepeat(execute);
    this.queue.after(this.random.within(LATE_EXECUTION_DELAY_MS), execute);
    return null;
  }

  private executeAndRepeat(execute: () => Response): Response {
    const response = execute();
    const repeated = this.repeatedRequests;
    if (response.status === HTTP_STATUS.ok && repeated?.random.chance(repeated.share))
      this.queue.after(repeated.random.within(REPEAT_DELAY_MS), execute);
    return response;
  }

  private scaleOut(body: ScaleOutBody): Response {
    const existing = this.machinesByIdempotencyKey.get(body.charter);
    if (existing) return { status: HTTP_STATUS.ok, body: { berths: existing } };
    const type = this.options.types.find((type) => type.name === body.hull);
    const valid =
      type?.zones.includes(body.harbor) && body.number >= 1 && body.number <= MAX_MACHINES_PER_SCALE_OUT;
    if (!type || !valid) return { status: HTTP_STATUS.badRequest, body: { error: 'malformed' } };
    const existingCount = [...this.machines.values()].filter(
      (machine) =>
        machine.removedAt === Infinity &&
        machine.type === type &&
        machine.zone === body.harbor &&
        machine.spot === body.driftboats,
    ).length;
    const count = Math.min(body.number, this.options.capacity - existingCount);
    if (count <= 0 || this.outOfCapacity)
      return { status: HTTP_STATUS.serviceUnavailable, body: { error: 'no capacity' } };
    const machineIds = Array.from(
      { length: count },
      () => this.create(type, body.harbor, body.driftboats).id,
    );
    this.machinesByIdempotencyKey.set(body.charter, machineIds);
    this.trace.add(
      `cloud rents ${machineIds.join(' ')} (${type.name}, ${body.harbor}${body.driftboats ? ', spot' : ''})`,
    );
    return { status: HTTP_STATUS.ok, body: { berths: machineIds } };
  }

  /** Creates a machine; `bootMs` is given for the initial deployment only, null draws a boot time for the type. */
  create(
    type: SimulatedInstanceType,
    zone: string,
    spot: boolean,
    bootMs: number | null = null,
  ): CloudMachine {
    // Machines of the initial deployment were created long before the start.
    const ageMs = bootMs === null ? 0 : INITIAL_MACHINE_AGE_MS;
    const index = this.machines.size;
    const machine: CloudMachine = {
      id: `m-${String(index).padStart(6, '0')}`,
      type,
      zone,
      spot,
      endpoint: `${this.options.addressPrefix}.${Math.floor(index / MACHINES_PER_SUBNET)}.${index % MACHINES_PER_SUBNET}:9000`,
      rentedAt: this.queue.now - ageMs,
      readyAt: Infinity,
      failedAt: Infinity,
      removedAt: Infinity,
    };
    this.machines.set(machine.id, machine);
    const bootTimeMs = bootMs ?? this.drawBootTimeMs(type);
    if (Number.isFinite(bootTimeMs)) this.queue.after(bootTimeMs, () => this.boot(machine));
    return machine;
  }

  private drawBootTimeMs(type: SimulatedInstanceType): number {
    if (this.random.chance(FAILED_BOOT_SHARE)) return Infinity;
    if (this.fastBoots) return this.random.within(FAST_BOOT_MS);
    const slowness = this.random.chance(SLOW_BOOT_SHARE) ? this.random.within(SLOW_BOOT_FACTOR) : 1;
    return type.bootS * 1000 * this.random.within(BOOT_TIME_FACTOR) * slowness;
  }

  private boot(machine: CloudMachine): void {
    if (machine.removedAt !== Infinity) return;
    machine.readyAt = this.queue.now;
    this.trace.add(`${machine.id} is up`);
    this.onReady(machine);
  }

  private scaleIn(body: { berths: string[] }): Response {
    if (body.berths.length > MAX_MACHINES_PER_SCALE_IN) return { status: HTTP_STATUS.badRequest, body: {} };
    for (const id of body.berths) {
      const machine = this.machines.get(id);
      if (!machine || machine.removedAt !== Infinity) continue;
      machine.removedAt = this.queue.now;
      this.trace.add(`${id} is deleted`);
      this.onRemoved(machine);
    }
    return { status: HTTP_STATUS.ok, body: {} };
  }

  /** Makes a machine fail on its own; the list shows the failure with a delay. */
  fail(machine: CloudMachine): void {
    if (machine.removedAt !== Infinity || machine.failedAt !== Infinity) return;
    machine.failedAt = this.queue.now;
    this.trace.add(`${machine.id} fails`);
    this.onRemoved(machine);
  }

  /** Interrupts a spot machine: it ends at once. */
  interrupt(machine: CloudMachine): void {
    if (machine.removedAt !== Infinity) return;
    machine.removedAt = this.queue.now;
    this.trace.add(`${machine.id} is taken back`);
    this.onRemoved(machine);
  }

  /** Lists the machines as of some time ago; a list may show an earlier time than the previous one. */
  private list(url: URL): Response {
    const lagMs = this.options.listLagS * 1000;
    const maxShare = this.random.chance(STALE_LIST_PROBABILITY) ? STALE_LIST_LAG_SHARE : MAX_LIST_LAG_SHARE;
    const at = this.queue.now - lagMs * this.random.between(MIN_LIST_LAG_SHARE, maxShare);
    const after = url.searchParams.get('from') ?? '';
    const limit = Math.min(MAX_LISTED_MACHINES, Number(url.searchParams.get('most') ?? MAX_LISTED_MACHINES));
    const listed = [...this.machines.values()].filter(
      (machine) => machine.id > after && machine.rentedAt <= at && at < machine.removedAt,
    );
    const encodedMachines = listed.slice(0, limit).map((machine) => encodeMachine(machine, at));
    return { status: HTTP_STATUS.ok, body: { berths: encodedMachines, hasNext: listed.length > limit } };
  }
}
