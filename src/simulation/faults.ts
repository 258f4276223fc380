/** Brings about the faults of a scenario, at their time or on their event, and ends them. */
import type { Arrivals } from './arrivals.js';
import type { EventQueue, Host } from './clock.js';
import type { Cloud } from './cloud.js';
import type { ControllerNode } from './controllers.js';
import type { Judge } from './judge.js';
import type { Cut, CutMode, Network } from './network.js';
import type { RandomStream } from './random.js';
import type { EventName, Fault, Scenario } from './scenario.js';
import type { StateService } from './state-service.js';
import type { Trace } from './trace.js';
import type { Users } from './users.js';
import type { Machine, Machines, WorkerLinks } from './machines.js';

type End = (() => void) | null;

/** What happened: its kind, and whom it concerns. */
export interface SimulationEvent {
  readonly name: EventName;
  /** A controller's name, where one brought it about. */
  readonly node?: string;
  readonly keys?: readonly string[];
  /** The machine that it concerns. */
  readonly machine?: string;
}

/** One fault at the moment at which it begins. */
interface Cause<F extends Fault = Fault> {
  readonly fault: F;
  readonly event: SimulationEvent | null;
  readonly random: RandomStream;
}

interface Waiting {
  readonly fault: Fault;
  left: number;
}

interface MachineChoice {
  readonly count?: number;
  readonly share?: number;
  readonly zone?: string;
  readonly machine?: 'event';
}

/** Cancellations of `cancel_now` fall within a fifth of a second; at most so many machines hang with them. */
const CANCEL_WITHIN_MS = 200;
const MOST_HANGING = 8;
const LATE_WRITE_MS = { low: 2000, high: 12_000 };
const ODD_GAP_MS = 400;

/** The simulated world, as far as faults reach into it. */
export interface FaultTarget {
  readonly queue: EventQueue;
  readonly trace: Trace;
  readonly scenario: Scenario;
  readonly network: Network;
  readonly state: StateService;
  readonly cloud: Cloud;
  readonly judge: Judge;
  readonly machines: Machines;
  readonly nodes: readonly ControllerNode[];
  readonly users: Users;
  readonly arrivals: Arrivals;
  readonly links: WorkerLinks;
  readonly stateHost: Host;
  readonly userHost: Host;
  /** Share of the jobs that end that are called off at the moment of the end. */
  cancelAtEnd: number;
  startNode(node: ControllerNode): void;
}

export class FaultSchedule {
  private waiting: Waiting[] = [];
  private active = 0;
  private pending = 0;
  /** Faults that have begun. */
  begun = 0;

  constructor(
    private readonly sim: FaultTarget,
    private readonly seeds: RandomStream,
  ) {}

  start(faults: readonly Fault[]): void {
    for (const fault of faults) {
      this.pending += 1;
      this.sim.queue.after(fault.at_s * 1000, () => this.reach(fault));
    }
    this.update();
  }

  private reach(fault: Fault): void {
    this.pending -= 1;
    if (fault.on === undefined) this.begin(fault, null);
    else this.waiting.push({ fault, left: fault.nth });
    this.update();
  }

  private update(): void {
    this.sim.judge.troubles(this.active === 0 && this.pending === 0);
  }

  happened(event: SimulationEvent): void {
    for (const w of [...this.waiting]) {
      const { fault } = w;
      if (fault.on !== event.name) continue;
      const prefix = fault.key;
      if (prefix !== undefined && !event.keys?.some((k) => k.startsWith(prefix))) continue;
      w.left -= 1;
      if (w.left > 0) continue;
      this.waiting = this.waiting.filter((other) => other !== w);
      this.begin(fault, event);
    }
  }

  private begin(fault: Fault, event: SimulationEvent | null): void {
    const { queue, trace } = this.sim;
    this.active += 1;
    this.update();
    queue.after(fault.after_ms, () => {
      this.begun += 1;
      trace.add(`fault ${fault.kind} begins`);
      // A stream of its own: without the other faults this one still chooses the same.
      const random = this.seeds.fork(`${fault.kind}/${fault.at_s}`);
      const end = this.apply({ fault, event, random });
      const lasts = 'for_s' in fault ? fault.for_s * 1000 : 0;
      queue.after(lasts, () => {
        end?.();
        trace.add(`fault ${fault.kind} ends`);
        this.active -= 1;
        this.update();
      });
    });
  }

  private apply(cause: Cause): End {
    return (
      this.applyToControllers(cause) ??
      this.applyToServices(cause) ??
      this.applyToMachines(cause) ??
      this.applyToUsers(cause)
    );
  }

  private node(node: number | 'event' | undefined, cause: Cause): ControllerNode {
    const { nodes } = this.sim;
    const named = nodes.find((n) => n.name === cause.event?.node);
    if (node === 'event' && named) return named;
    return typeof node === 'number' ? (nodes[node] as ControllerNode) : cause.random.pick(nodes);
  }

  private endNode(node: ControllerNode, restartS: number | undefined, random: RandomStream): void {
    if (!node.host.up) return;
    node.end();
    this.happened({ name: 'controller_ended', node: node.name });
    const after = restartS ?? this.sim.scenario.deployment.restart_s * random.between(0.8, 1.2);
    this.sim.queue.after(after * 1000, () => this.sim.startNode(node));
  }

  private cut(mode: CutMode, blocks: Cut['blocks']): () => void {
    const cut: Cut = { mode, blocks };
    this.sim.network.cut(cut);
    return () => this.sim.network.heal(cut);
  }

  private applyToControllers(cause: Cause): End | undefined {
    const { fault, random } = cause;
    const { nodes, queue } = this.sim;
    switch (fault.kind) {
      case 'controller_end':
        this.endNode(this.node(fault.node, cause), fault.restart_s, random);
        return null;
      case 'all_controllers_end':
        for (const n of nodes) this.endNode(n, fault.restart_s, random);
        return null;
      case 'controllers_restart':
        nodes.forEach((n, i) =>
          queue.after(i * fault.gap_s * 1000, () => this.endNode(n, undefined, random)),
        );
        return null;
      case 'controller_pause':
        this.node(fault.node, cause).host.pause(fault.for_s * 1000);
        return null;
      case 'node_cut':
        return this.cutNode(fault, this.node(fault.node, cause).host);
      case 'peers_refused': {
        const isNode = (h: Host): boolean => nodes.some((n) => n.host === h);
        return this.cut('refuse', (a, b) => isNode(a) && isNode(b));
      }
      case 'zone_cut':
        return this.cut(fault.mode, (a, b) => (a.zone === fault.zone) !== (b.zone === fault.zone));
      case 'zones_cut': {
        const between = (a: Host, b: Host): boolean => a.zone === fault.zone && b.zone === fault.other_zone;
        return this.cut(fault.mode, (a, b) => between(a, b) || between(b, a));
      }
      default:
        return undefined;
    }
  }

  private cutNode(fault: Extract<Fault, { kind: 'node_cut' }>, host: Host): () => void {
    const { stateHost, userHost, nodes } = this.sim;
    const whole = !fault.from_state && !fault.from_peers && !fault.from_workers && !fault.from_users;
    const lost = (other: Host): boolean => {
      if (whole) return true;
      if (other === stateHost) return fault.from_state;
      if (other === userHost) return fault.from_users;
      if (nodes.some((n) => n.host === other)) return fault.from_peers;
      return other.name.startsWith('m-') && fault.from_workers;
    };
    return this.cut(fault.mode, (a, b) => (a === host && lost(b)) || (b === host && lost(a)));
  }

  private applyToServices(cause: Cause): End | undefined {
    const { fault, random } = cause;
    const { state, cloud, links } = this.sim;
    switch (fault.kind) {
      case 'state_outage':
        state.outage = true;
        return () => state.endOutage();
      case 'state_refuses': {
        const { name } = this.node(fault.node, cause);
        state.refused.add(name);
        return () => state.endRefusal(name);
      }
      case 'state_slow':
        state.slowMs = fault.slow_ms;
        return () => (state.slowMs = 0);
      case 'late_writes': {
        const late = (): number => random.between(LATE_WRITE_MS.low, LATE_WRITE_MS.high);
        state.fate = () => {
          if (!random.chance(fault.share)) return { kind: 'normal' };
          return fault.at_once ? { kind: 'answer-lost' } : { kind: 'late', delayMs: late() };
        };
        return () => (state.fate = () => ({ kind: 'normal' }));
      }
      case 'late_reports':
        links.lateReports = { share: fault.share, forNext: fault.for_next };
        return () => (links.lateReports = { share: 0, forNext: false });
      case 'late_commands':
        links.lateCommands = fault.share;
        return () => (links.lateCommands = 0);
      case 'cloud_outage':
        cloud.outage = true;
        return () => (cloud.outage = false);
      case 'cloud_empty':
        cloud.exhausted = true;
        return () => (cloud.exhausted = false);
      case 'late_rentals':
        cloud.lateShare = fault.share;
        return () => (cloud.lateShare = 0);
      case 'fast_boots':
        cloud.fastBoots = true;
        return () => (cloud.fastBoots = false);
      default:
        return undefined;
    }
  }

  private machines(fault: MachineChoice, { event, random }: Cause, spotOnly = false): Machine[] {
    const up = this.sim.machines.all();
    const concerned = up.filter((m) => m.facts.id === event?.machine);
    if (fault.machine === 'event' && concerned.length > 0) return concerned;
    const all = up.filter(
      (m) => (fault.zone === undefined || m.facts.zone === fault.zone) && (!spotOnly || m.facts.spot),
    );
    const whole = fault.zone !== undefined && fault.count === undefined && fault.share === undefined;
    const number = fault.count ?? Math.ceil(all.length * (fault.share ?? 0));
    return whole ? all : random.sample(all, Math.max(1, number));
  }

  private applyToMachines(cause: Cause): End | undefined {
    const { fault } = cause;
    switch (fault.kind) {
      case 'machine_deaf':
      case 'machine_mute':
      case 'machine_cut':
        return this.cutMachines(fault, cause);
      case 'machine_hang':
        for (const m of this.machines(fault, cause)) m.worker.hang(fault.for_s * 1000);
        return null;
      case 'machine_sick': {
        const sick = this.machines(fault, cause);
        for (const m of sick) m.worker.sick = true;
        return () => sick.forEach((m) => (m.worker.sick = false));
      }
      case 'machine_slow': {
        const slow = this.machines(fault, cause);
        for (const m of slow) m.worker.slowness = fault.times;
        return () => slow.forEach((m) => (m.worker.slowness = 1));
      }
      case 'machine_end':
        for (const m of this.machines(fault, cause)) this.sim.machines.fail(m);
        return null;
      case 'spot_wave':
        for (const m of this.machines(fault, cause, true)) this.sim.machines.takeBack(m, fault.notice_s);
        return null;
      default:
        return undefined;
    }
  }

  private cutMachines(
    fault: Extract<Fault, { kind: 'machine_deaf' | 'machine_mute' | 'machine_cut' }>,
    cause: Cause,
  ): () => void {
    const hosts = new Set(this.machines(fault, cause).map((m) => m.host));
    if (fault.kind === 'machine_cut') return this.cut(fault.mode, (a, b) => hosts.has(a) || hosts.has(b));
    const { links } = this.sim;
    const set = fault.kind === 'machine_deaf' ? links.deaf : links.mute;
    for (const h of hosts) set.add(h);
    return () => hosts.forEach((h) => set.delete(h));
  }

  private applyToUsers({ fault, random }: Cause): End {
    const { users, queue, arrivals } = this.sim;
    switch (fault.kind) {
      case 'cancel_now':
        this.cancelNow(fault.count, fault.hang_s, random);
        return null;
      case 'cancel_at_end':
        this.sim.cancelAtEnd = fault.share;
        return () => (this.sim.cancelAtEnd = 0);
      case 'odd_requests':
        for (let at = 0; at < fault.for_s * 1000; at += ODD_GAP_MS)
          queue.after(at, () => users.odd(Math.round(queue.now)));
        return null;
      case 'close_looks':
        users.closeLooks = true;
        return () => (users.closeLooks = false);
      case 'surge':
        arrivals.setTimes(fault.class, fault.times);
        return () => arrivals.setTimes(fault.class, 1);
      default:
        return null;
    }
  }

  /** Jobs that run are called off at nearly the same moment, and some of their machines hang. */
  private cancelNow(number: number, hangS: number, random: RandomStream): void {
    const { users, queue, machines } = this.sim;
    const chosen = random.sample(users.unfinished(), number).map((job) => job.id);
    for (const id of chosen) queue.after(random.between(0, CANCEL_WITHIN_MS), () => users.cancel(id));
    if (hangS <= 0) return;
    const holds = (m: Machine): boolean =>
      m.worker.holds().some((task) => chosen.includes(task.slice(0, task.lastIndexOf('/'))));
    for (const m of machines.all().filter(holds).slice(0, MOST_HANGING)) m.worker.hang(hangS * 1000);
  }
}
