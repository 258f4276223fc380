/** The machines that are up, each with its worker, and their links to the controllers. */
import type { Call } from '../http/client.js';
import { Host, type EventQueue } from './clock.js';
import type { Cloud, CloudMachine } from './cloud.js';
import type { ControllerNode } from './controllers.js';
import type { Defects } from './defects.js';
import type { Gangs } from './gangs.js';
import type { JobStorage } from './jobs.js';
import type { MachineView } from './judge.js';
import type { Network, Response } from './network.js';
import type { MachineFacts, Observer } from './observer.js';
import type { RandomStream } from './random.js';
import type { Reply } from './state-service.js';
import type { Trace } from './trace.js';
import { Worker, type WorkerTimes } from './worker.js';

const REPORT_TIMEOUT_MS = 4000;
const LATE_MS = { low: 2000, high: 16_000 };
/** Machines of one type differ by a tenth in speed, and by a third in how fast they fetch. */
const SPEED = { low: 0.95, high: 1.05 };
const FETCH = { low: 0.75, high: 1.25 };
/** A machine counts as one with room from this long after it is up. */
const SETTLED_MS = 30_000;

/** What happens to messages between workers and controllers besides the network's own faults. */
export class WorkerLinks {
  lateReports = { share: 0, forNext: false };
  lateCommands = 0;
  /** Answers and commands to these are lost. */
  readonly deaf = new Set<Host>();
  /** Reports of these are lost. */
  readonly mute = new Set<Host>();
  private kept: { readonly from: Host; readonly body: object }[] = [];

  keep(from: Host, body: object): void {
    this.kept.push({ from, body });
  }

  takeKept(): readonly { readonly from: Host; readonly body: object }[] {
    const out = this.kept;
    this.kept = [];
    return out;
  }
}

export interface Machine {
  readonly facts: MachineFacts;
  readonly host: Host;
  readonly worker: Worker;
  readonly rented: CloudMachine;
}

export interface MachineSurroundings {
  readonly queue: EventQueue;
  readonly random: RandomStream;
  readonly network: Network;
  readonly trace: Trace;
  readonly observer: Observer;
  readonly storage: JobStorage;
  readonly gangs: Gangs;
  readonly nodes: readonly ControllerNode[];
  readonly times: WorkerTimes;
  readonly defects: Defects;
  readonly links: WorkerLinks;
  readonly cloud: () => Cloud;
}

export class Machines {
  private readonly up = new Map<string, Machine>();
  private readonly byAddress = new Map<string, Machine>();

  constructor(private readonly around: MachineSurroundings) {}

  all(): Machine[] {
    return [...this.up.values()];
  }

  /** Those on which a task could be started now. */
  views(): MachineView[] {
    const { queue } = this.around;
    return this.all()
      .filter((m) => !m.worker.sick && !m.worker.hanging && m.worker.noticeEndsAt === null)
      .filter((m) => queue.now - m.rented.upAt > SETTLED_MS)
      .map((m) => ({ facts: m.facts, free: m.worker.resources, holds: m.worker.holds() }));
  }

  boot(rented: CloudMachine): void {
    const { queue, random } = this.around;
    const { type } = rented;
    const facts: MachineFacts = {
      id: rented.id,
      type: type.name,
      zone: rented.zone,
      spot: rented.spot,
      cpus: type.cpus,
      gpus: type.gpus,
      memoryGb: type.memoryGb,
    };
    const host = new Host(rented.id, rented.zone, queue);
    const own = random.fork(rented.id);
    const speed = { gbPerS: type.fetchGbPerS * own.between(FETCH.low, FETCH.high), cacheGb: type.cacheGb };
    const worker = new Worker(facts, host, rented.endpoint, speed, {
      ...this.around,
      random: own,
      controllers: this.around.nodes.map((n) => n.name),
      report: (controller, body) => this.report(host, controller, body),
    });
    worker.slowness = own.between(SPEED.low, SPEED.high);
    const machine: Machine = { facts, host, worker, rented };
    this.up.set(rented.id, machine);
    this.byAddress.set(rented.endpoint, machine);
  }

  gone(rented: CloudMachine): void {
    const machine = this.up.get(rented.id);
    if (!machine) return;
    this.up.delete(rented.id);
    machine.worker.destroy();
  }

  fail(machine: Machine): void {
    this.around.cloud().fail(machine.rented);
  }

  /** With a notice of about that many seconds; 0: with none. */
  takeBack(machine: Machine, noticeS: number): void {
    const { queue, random, cloud } = this.around;
    const notice = noticeS * 1000 * random.between(0.5, 1.5);
    if (noticeS > 0) machine.worker.setNotice(queue.now + noticeS * 1000);
    queue.after(notice, () => cloud().take(machine.rented));
  }

  /** Who answers at an address; a machine that is gone is silent. */
  at(address: string): { readonly host: Host; serve(call: Call, reply: Reply): void } | null {
    const machine = this.byAddress.get(address);
    if (!machine) return null;
    return { host: machine.host, serve: (call, reply) => this.command(machine, call, reply) };
  }

  private command(machine: Machine, call: Call, reply: Reply): void {
    const { links, random } = this.around;
    if (links.deaf.has(machine.host)) return;
    if (call.path === '/orders' && random.chance(links.lateCommands)) {
      machine.host.after(random.between(LATE_MS.low, LATE_MS.high), () => machine.worker.serve(call));
      return;
    }
    reply(machine.worker.serve(call));
  }

  private async report(host: Host, controller: number, body: object): Promise<Response | null> {
    const { links, nodes, random, network } = this.around;
    const node = nodes[controller] as ControllerNode;
    if (random.chance(links.lateReports.share)) this.copyLate(host, node, body);
    const call = { method: 'POST', path: '/agent/beat', body, timeout: REPORT_TIMEOUT_MS } as unknown as Call;
    const outcome = await network.exchange({
      from: host,
      to: node.host,
      timeoutMs: REPORT_TIMEOUT_MS,
      serve: (reply) => {
        if (links.mute.has(host)) return;
        node.serve(call, (response) => {
          if (!links.deaf.has(host)) reply(response);
        });
      },
    });
    return outcome.kind === 'answer' ? outcome : null;
  }

  private copyLate(host: Host, node: ControllerNode, body: object): void {
    const { links, queue, random, times } = this.around;
    if (links.lateReports.forNext) return links.keep(host, body);
    const delay = random.between(2000, 2 * times.leaseMs);
    queue.after(delay, () => this.deliverCopy(node, body));
  }

  /** An old report arrives again; nobody waits for its answer. */
  deliverCopy(node: ControllerNode, body: object): void {
    const call = { method: 'POST', path: '/agent/beat', body, timeout: REPORT_TIMEOUT_MS } as unknown as Call;
    if (node.host.up) node.serve(call, () => undefined);
  }
}
