/** Workers' reports and the orders sent straight to them. */
import type { Core } from '../core.js';
import type { Outcome } from '../http/client.js';
import type { Answer } from '../http/server.js';
import type { Binding, Machine, Part } from '../parts/model.js';
import { newMachine } from '../parts/model.js';
import type { Ownership } from '../parts/ownership.js';
import { accountFor } from '../parts/ownership.js';
import { decodeMachine, machineKey, MACHINES, type MachineRecord } from '../parts/records.js';
import type { RunTimes } from '../placement/runtimes.js';
import type { Caller } from '../state/client.js';
import { Rank } from '../state/budget.js';
import type { Address, MachineId, PartId, Session, SteadyMs } from '../units.js';
import { millis, plus, steady } from '../units.js';
import { applyReport, endSession, type ReportContext } from './reports.js';
import { ordersDirect, ordersInAnswer } from './orders.js';
import { decodeReport, encodeDirect, encodeRedirect, encodeReply, parseReport, type Report } from './wire.js';

const DIRECT_TIMEOUT = millis(2000);
const DOUBT_PATIENCE = 3000;
const GONE_KEPT = 5000;
const REFUSE: Answer = { status: 503, body: { error: 'not entitled now' }, retryAfterS: 1 };

/** A way to one worker's own address. */
export interface WorkerLink extends Caller {
  close(): void;
}

export class WorkerDesk {
  private readonly clients = new Map<string, WorkerLink>();
  private readonly adopting = new Set<MachineId>();
  private raisedAt = steady(-1e12);

  constructor(
    private readonly core: Core,
    private readonly ownership: Ownership,
    private readonly runTimes: RunTimes,
    private readonly dial: (address: Address) => WorkerLink,
  ) {}

  async report(body: Buffer): Promise<Answer> {
    const report = parseReport(body);
    if (!report) return { status: 400, body: { error: 'not a report' } };
    if (!this.core.view.loaded) return REFUSE;
    const named = await this.partOf(report);
    if (named === null) return REFUSE;
    return this.core.exclusive(() => this.answer(report, named));
  }

  private async partOf(report: Report): Promise<PartId | null> {
    const entry = this.core.view.get(machineKey(report.machine));
    const record = entry ? decodeMachine(entry.value) : null;
    return record ? record.part : this.adopt(report);
  }

  private answer(report: Report, named: PartId): Answer {
    const part = this.core.parts.get(named);
    const machine = part?.machines.get(report.machine);
    if (!part || !machine) return this.redirect(report, named);
    const now = this.core.clock.now();
    // Its worker has seen a higher token: somebody else commands it. A 200 would be dropped, and would keep the
    // worker here while its lease runs out.
    if (report.token > part.token) {
      this.outranked(part, now);
      return { status: 421, body: encodeRedirect(null) };
    }
    if (!this.core.authority(now)) return REFUSE;
    if (!applyReport(part, machine, report, 'report', this.context(now))) return REFUSE;
    const orders = ordersInAnswer(part, machine);
    this.changed(part);
    return { status: 200, body: encodeReply(part.token, orders) };
  }

  /** If the store still says that the part is ours, a new token goes above what the worker has seen. */
  private outranked(part: Part, now: SteadyMs): void {
    if (now - this.raisedAt < 3000) return;
    this.raisedAt = now;
    void this.ownership.raise(part);
  }

  private redirect(report: Report, named: PartId): Answer {
    this.ownership.noteStray(named, report.machine);
    const owner = this.core.partRecord(named)?.owner ?? null;
    const known = owner !== null && owner !== this.core.settings.node && this.core.heard(owner, millis(2500));
    return { status: 421, body: encodeRedirect(known ? owner : null) };
  }

  private context(now: SteadyMs): ReportContext {
    return {
      now,
      log: this.core.log,
      pastSpec: (t) => this.core.past.get(t.job) ?? null,
      onDone: (b) => this.learn(b, now),
    };
  }

  private learn(b: Binding, now: SteadyMs): void {
    if (b.spec && b.runningSince !== null)
      this.runTimes.learn(b.spec.lane, b.spec.estimateS, (now - b.runningSince) / 1000);
  }

  private changed(part: Part): void {
    if (accountFor(part)) this.core.log.info({ part: part.id }, 'part accounted for');
    this.core.wake();
  }

  /** A machine that nobody has named: named for a part by one conditional write, whoever of us is first. */
  private async adopt(report: Report): Promise<PartId | null> {
    const { core } = this;
    // A report that a cut held back, from a machine that has been returned since: nobody is there any more.
    if (this.adopting.has(report.machine) || core.gone.has(report.machine)) return null;
    this.adopting.add(report.machine);
    try {
      const part = core.rentedFor.get(report.machine) ?? choosePart(core, report);
      const value: MachineRecord = {
        part,
        address: report.address,
        type: report.type,
        zone: report.zone,
        spot: report.spot,
      };
      const key = machineKey(report.machine);
      const result = await core.state.txn(
        [{ key, version: 0 as never }],
        [{ op: 'put', key, value }],
        Rank.final,
      );
      if (result.kind !== 'done') return null;
      core.log.info(
        { machine: report.machine, part, type: report.type, spot: report.spot },
        'machine adopted',
      );
      await core.exclusive(() => core.view.learn(key, value, result.revision));
      return part;
    } finally {
      this.adopting.delete(report.machine);
    }
  }

  /** The view shows a machine of a part that we own, or its removal. */
  onMachine(id: MachineId, record: MachineRecord | null): void {
    const now = this.core.clock.now();
    for (const part of this.core.parts.values()) {
      const known = part.machines.get(id);
      if (record?.part === part.id) {
        if (known) continue;
        // Named after our claim: commanded by nobody before, so nothing of ours is on it.
        part.machines.set(
          id,
          newMachine(id, record.address, record.type, record.zone, record.spot, now, true),
        );
      } else if (known) this.remove(part, known);
    }
    if (record) return;
    this.core.imageHints.delete(id);
    this.core.gone.add(id);
    if (this.core.gone.size > GONE_KEPT)
      this.core.gone.delete(this.core.gone.keys().next().value as MachineId);
  }

  /** The machine is certainly gone, and all that was on it. */
  remove(part: Part, machine: Machine): void {
    endSession(part, machine, this.core);
    part.machines.delete(machine.id);
    this.changed(part);
  }

  /** Sends what is due on every machine, one request a machine at a time. */
  dispatch(part: Part): void {
    const now = this.core.clock.now();
    if (!this.core.authority(now)) return;
    for (const machine of part.machines.values()) {
      if (machine.directBusy || machine.address === '' || machine.returning) continue;
      if (!machine.settled && part.token > machine.token) {
        if (now >= machine.avoidUntil) void this.deliver(part, machine, []);
        continue;
      }
      if (machine.lastHeard === null) continue;
      const { orders, launches } = ordersDirect(part, machine, now);
      if (orders.length > 0) void this.deliver(part, machine, launches, orders);
      else if (this.hasDoubt(machine) && part.token > machine.token && now >= machine.avoidUntil) {
        void this.deliver(part, machine, []);
      }
    }
  }

  private hasDoubt(machine: Machine): boolean {
    for (const b of machine.bindings.values()) if (b.doubt) return true;
    for (const e of machine.exited.values()) if (e.doubt) return true;
    return false;
  }

  private client(address: Address): WorkerLink {
    let client = this.clients.get(address);
    if (!client) {
      client = this.dial(address);
      this.clients.set(address, client);
    }
    return client;
  }

  private async deliver(
    part: Part,
    machine: Machine,
    launches: readonly Binding[],
    orders: ReturnType<typeof ordersDirect>['orders'] = [],
  ): Promise<void> {
    machine.directBusy = true;
    const token = part.token;
    const session = machine.session;
    const body = encodeDirect(token, session, orders);
    const outcome = await this.client(machine.address).call({
      method: 'POST',
      path: '/orders',
      body,
      timeout: DIRECT_TIMEOUT,
    });
    await this.core.exclusive(() => {
      machine.directBusy = false;
      this.settle(part, machine, launches, outcome, { token, session });
      this.changed(part);
    });
  }

  private settle(
    part: Part,
    machine: Machine,
    launches: readonly Binding[],
    outcome: Outcome,
    sent: { token: Part['token']; session: Session },
  ): void {
    const now = this.core.clock.now();
    for (const b of launches) b.inFlight = false;
    const answered = outcome.kind === 'answer' && (outcome.status === 200 || outcome.status === 409);
    const report = answered ? decodeReport(outcome.body) : null;
    if (report && report.machine === machine.id) {
      applyReport(part, machine, report, 'direct', this.context(now));
      return;
    }
    machine.avoidUntil = plus(now, millis(2000));
    const unsent = outcome.kind === 'unsent' || (outcome.kind === 'answer' && outcome.status === 400);
    this.core.log.debug(
      { machine: machine.id, outcome: outcome.kind, launches: launches.length },
      'direct order',
    );
    // Sent and not answered: it may be carried out minutes from now, as long as token and session match.
    if (!unsent) for (const b of launches) b.doubt = { ...sent, since: now };
  }

  /** Leases that certainly ran out, and doubts that only a higher token can end. */
  sweep(part: Part): void {
    const now = this.core.clock.now();
    for (const machine of part.machines.values()) this.sweepMachine(part, machine, now);
    let stale = false;
    for (const m of part.machines.values()) {
      if (m.lastHeard === null || now - m.lastHeard > this.core.reportMs * 2 || m.token > part.token)
        continue;
      for (const b of m.bindings.values()) stale ||= isStale(b.doubt, part, now);
      for (const e of m.exited.values()) stale ||= isStale(e.doubt, part, now);
    }
    if (stale) {
      this.core.log.info({ part: part.id }, 'raising the token to settle direct orders without an answer');
      void this.ownership.raise(part);
    }
    this.changed(part);
  }

  private sweepMachine(part: Part, machine: Machine, now: SteadyMs): void {
    if (machine.lastReport === null && machine.settled) return;
    // Until then an owner before us may have answered it: that one stops when its view is too old.
    const before = machine.settled ? 0 : part.claimedAt + this.core.settings.cancelS * 1001;
    const over = Math.max(before, (machine.lastReport ?? 0) + this.core.leaseMs);
    // Not before we know that we were still the owner then: a successor may be renewing that lease.
    if (now < over || this.core.view.confirmed < over) return;
    if (machine.settled && machine.bindings.size === 0 && machine.exited.size === 0) return;
    this.core.log.info(
      { machine: machine.id, part: part.id, bound: machine.bindings.size },
      'lease certainly over',
    );
    endSession(part, machine, this.core);
    machine.leastSession = Math.max(machine.leastSession, machine.session + 1) as Session;
    machine.settled = true;
  }

  /** Do workers of a part answer us at all? Asked before we take a part back. */
  async workersAnswer(part: PartId): Promise<boolean> {
    const addresses: Address[] = [];
    for (const entry of this.core.view.under(MACHINES)) {
      const m = decodeMachine(entry.value);
      if (m && m.part === part && m.address !== '') addresses.push(m.address);
    }
    if (addresses.length === 0) return true;
    const asked = addresses.slice(0, 5);
    const call = { method: 'GET', path: '/status', timeout: millis(1000) } as const;
    const outcomes = await Promise.all(asked.map((a) => this.client(a).call(call)));
    const answers = outcomes.filter((o) => o.kind === 'answer' && o.status === 200).length;
    return answers * 2 > asked.length;
  }

  forgetClients(): void {
    const wanted = new Set<string>();
    for (const part of this.core.parts.values())
      for (const m of part.machines.values()) wanted.add(m.address);
    for (const [address, client] of this.clients) {
      if (wanted.has(address)) continue;
      client.close();
      this.clients.delete(address);
    }
  }
}

function isStale(doubt: Binding['doubt'], part: Part, now: SteadyMs): boolean {
  return doubt !== null && doubt.token >= part.token && now - doubt.since > DOUBT_PATIENCE;
}

/**
 * Parts follow zones: among those whose controller sits in the machine's zone, by turns in name order, which
 * every controller counts alike while many machines are named at once, unless that part is clearly ahead.
 */
export function choosePart(core: Core, report: Pick<Report, 'zone' | 'machine'>): PartId {
  const near = core.settings.parts.filter((p) => p.zone === report.zone);
  const pool = near.length > 0 ? near : core.settings.parts;
  const cpus = new Map<PartId, number>(pool.map((p) => [p.part, 0]));
  let largest = 1;
  for (const entry of core.view.under(MACHINES)) {
    const m = decodeMachine(entry.value);
    const size = m ? (core.types.get(m.type)?.cpus ?? 1) : 1;
    largest = Math.max(largest, size);
    if (m && cpus.has(m.part)) cpus.set(m.part, (cpus.get(m.part) ?? 0) + size);
  }
  const number = Number(/\d+$/.exec(report.machine)?.[0] ?? 0);
  const turn = pool[number % pool.length]?.part ?? core.settings.part;
  const least = [...cpus].sort((a, b) => a[1] - b[1] || a[0] - b[0])[0];
  return least && (cpus.get(turn) ?? 0) - least[1] > 1.5 * largest ? least[0] : turn;
}
