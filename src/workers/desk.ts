/** Workers' reports and the orders sent straight to them. */
import type { Core } from '../core.js';
import type { Outcome } from '../http/client.js';
import type { Answer } from '../http/server.js';
import type { Binding, Machine, Part } from '../parts/model.js';
import { newMachine } from '../parts/model.js';
import type { Ownership } from '../parts/ownership.js';
import { accountFor } from '../parts/accounting.js';
import { decodeMachine, machineKey, MACHINES, type MachineRecord } from '../parts/records.js';
import { Naming } from './naming.js';
import type { RunTimes } from '../placement/runtimes.js';
import type { Caller } from '../state/client.js';
import type { Address, MachineId, PartId, Revision, Session, SteadyMs } from '../units.js';
import { millis, plus, steady } from '../units.js';
import { applyReport, endSession, type ReportContext } from './reports.js';
import { ordersDirect, ordersInAnswer } from './orders.js';
import { decodeReport, encodeDirect, encodeRedirect, encodeReply, parseReport, type Report } from './wire.js';

const DIRECT_TIMEOUT = millis(2000);
/** A worker waits 4 s for its answer. */
const TOO_LATE = 2500;
const DOUBT_PATIENCE = 3000;
/** How often a machine that we could not reach is tried again. */
const PROBE_GAP = 2000;
/** After a claim the whole part waits for the answer: shorter, and asked again sooner. */
const CLAIM_TIMEOUT = millis(1000);
const CLAIM_GAP = 250;
const GONE_KEPT = 5000;
/**
 * Of our sockets: calls to workers at once, and as many again that are kept open after a call. The rest is for those
 * who come to us: a controller that is left alone has a connection of every machine.
 */
export const CALL_SHARE = 0.1;
const REFUSE: Answer = { status: 503, body: { error: 'not entitled now' }, retryAfterS: 1 };

/** A way to one worker's own address. */
export interface WorkerLink extends Caller {
  close(): void;
}

export class WorkerDesk {
  private readonly clients = new Map<string, WorkerLink>();
  private raisedAt = steady(-1e12);
  private delivering = 0;
  private readonly naming: Naming;

  constructor(
    private readonly core: Core,
    private readonly ownership: Ownership,
    private readonly runTimes: RunTimes,
    private readonly dial: (address: Address) => WorkerLink,
  ) {
    this.naming = new Naming(core, (report) => this.answers(report));
  }

  async report(body: Buffer): Promise<Answer> {
    const report = parseReport(body);
    if (!report) return { status: 400, body: { error: 'not a report' } };
    if (!this.core.view.loaded) return REFUSE;
    const from = this.core.clock.now();
    const named = await this.partOf(report);
    // Named too late for this answer to reach the worker: its lease would run out under what we start there.
    if (named === null || this.core.clock.now() - from > TOO_LATE) return REFUSE;
    return this.core.exclusive(() => this.answer(report, named));
  }

  private async partOf(report: Report): Promise<PartId | null> {
    const entry = this.core.view.get(machineKey(report.machine));
    const record = entry ? decodeMachine(entry.value) : null;
    return record ? record.part : this.naming.adopt(report);
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
    if (this.isDeaf(part, machine, report, now)) {
      machine.refusedDeaf = now;
      return REFUSE;
    }
    if (!applyReport(part, machine, report, 'report', this.context(now))) return REFUSE;
    const orders = ordersInAnswer(part, machine);
    if (!machine.settled) {
      part.due.add(machine);
      machine.answeredUnsettled ??= now;
    }
    this.changed(part);
    return { status: 200, body: encodeReply(part.token, orders) };
  }

  /**
   * It reports and never shows the token that our answers carry: they do not reach it. Each further answer might
   * renew its lease, and the part would wait for it for ever; refused, its lease ends for certain.
   */
  private isDeaf(part: Part, machine: Machine, report: Report, now: SteadyMs): boolean {
    if (report.token >= part.token || machine.settled || machine.answeredUnsettled === null || part.accounted)
      return false;
    return now - machine.answeredUnsettled > 3 * this.core.reportMs + 4000;
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
      reportsWithin: millis(1.25 * this.core.reportMs + 3000),
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

  /**
   * Does the machine answer at its own address? What reports and cannot be reached takes no orders; and a late copy
   * of a report from a machine that was deleted, perhaps before this process began, finds nobody there.
   */
  private async answers(report: Report): Promise<boolean> {
    const call = { method: 'GET', path: '/status', timeout: millis(1000) } as const;
    const outcome = await this.client(report.address).call(call);
    if (outcome.kind !== 'answer' || outcome.status !== 200) return false;
    return decodeReport(outcome.body)?.machine === report.machine;
  }

  /** The view shows a machine of a part that we own, or its removal. */
  onMachine(id: MachineId, record: MachineRecord | null, version: Revision): void {
    const now = this.core.clock.now();
    for (const part of this.core.parts.values()) {
      const known = part.machines.get(id);
      if (record?.part === part.id) {
        if (known) continue;
        // Named after our claim: commanded by nobody before, so nothing of ours is on it.
        const settled = version > part.claimedVersion;
        part.add(newMachine(id, record.address, record.type, record.zone, record.spot, now, settled));
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
    part.drop(machine);
    this.changed(part);
  }

  /** Sends what is due on every machine, one request a machine at a time. */
  dispatch(part: Part): void {
    const now = this.core.clock.now();
    if (!this.core.authority(now)) return;
    for (const machine of part.due) {
      // Bounded: after a takeover there are hundreds to talk to, and each costs a connection.
      if (this.delivering >= this.maxDelivering) return;
      if (!this.tell(part, machine, now)) part.due.delete(machine);
    }
  }

  /** Sends what is due on one machine; false: there is nothing to say, until something changes. */
  private tell(part: Part, machine: Machine, now: SteadyMs): boolean {
    if (machine.returning) return false;
    if (machine.directBusy || machine.address === '') return true;
    const behind = part.token > machine.token;
    if (!machine.settled && behind) {
      if (now >= machine.avoidUntil) void this.deliver(part, machine, []);
      return true;
    }
    if (machine.unreachedSince !== null) {
      if (now < machine.avoidUntil) return true;
      const { orders, launches } = ordersDirect(part, machine, now);
      void this.deliver(part, machine, launches, orders);
      return true;
    }
    if (machine.lastHeard === null) return false;
    const { orders, launches } = ordersDirect(part, machine, now);
    if (orders.length > 0) void this.deliver(part, machine, launches, orders);
    else if (!behind || !this.hasDoubt(machine)) return false;
    else if (now >= machine.avoidUntil) void this.deliver(part, machine, []);
    return true;
  }

  private get maxDelivering(): number {
    return Math.max(16, Math.floor(this.core.settings.maxConnections * CALL_SHARE));
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
    this.delivering += 1;
    const token = part.token;
    const session = machine.session;
    const body = encodeDirect(token, session, orders);
    const outcome = await this.client(machine.address).call({
      method: 'POST',
      path: '/orders',
      body,
      timeout: machine.settled ? DIRECT_TIMEOUT : CLAIM_TIMEOUT,
    });
    await this.core.exclusive(() => {
      machine.directBusy = false;
      this.delivering -= 1;
      part.due.add(machine);
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
      machine.unreachedSince = null;
      machine.missedCalls = 0;
      applyReport(part, machine, report, 'direct', this.context(now));
      return;
    }
    machine.missedCalls += 1;
    machine.avoidUntil = plus(now, millis(machine.settled ? PROBE_GAP : CLAIM_GAP));
    machine.unreachedSince ??= now;
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
    // A direct answer may have shown a new session before any report of it: that one has a lease of its own, and what
    // was started in it since does not end with the old one.
    const renewed = Math.max(machine.lastReport ?? 0, machine.sessionSeen ?? 0);
    const over = Math.max(before, renewed + this.core.leaseMs);
    // Not before we know that we were still the owner then: a successor may be renewing that lease.
    if (now < over || this.core.view.confirmed < over) return;
    if (machine.settled && machine.bindings.size === 0 && machine.exited.size === 0) return;
    this.core.log.info(
      { machine: machine.id, part: part.id, bound: machine.bindings.size },
      'lease certainly over',
    );
    endSession(part, machine, this.core);
    machine.leastSession = Math.max(machine.leastSession, machine.session + 1) as Session;
    part.settle(machine);
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
