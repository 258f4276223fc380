/** Running machines, each with its worker, and their links to the controllers. */
import type { Call } from '../http/client.js';
import { HTTP_STATUS } from '../http/status.js';
import type { Millis } from '../model/units.js';
import { Host, type EventQueue } from './clock.js';
import type { SimulatedCloud } from './cloud.js';
import type { CloudMachine } from './cloud-machine.js';
import type { ControllerNode } from './controller-node.js';
import type { Defects } from './defects.js';
import type { GangRegistry } from './gangs.js';
import type { JobStorage } from './user-jobs.js';
import type { MachineView } from './invariant-checker.js';
import type { Network, Response } from './network.js';
import type { MachineSpec, Observer } from './observer.js';
import type { RandomStream } from './random.js';
import { RepeatedCommands } from './repeated-commands.js';
import type { Reply } from './store-service.js';
import type { Trace } from './trace.js';
import { Worker, type WorkerTimes } from './worker.js';

const HEARTBEAT_TIMEOUT_MS = 4000 as Millis;
const LATE_COMMAND_DELAY_MS = { low: 2000, high: 16_000 };
/** Random factors by which machines of the same type differ in run time and in fetch rate. */
const SLOWNESS_FACTOR = { low: 0.95, high: 1.05 };
const FETCH_RATE_FACTOR = { low: 0.75, high: 1.25 };
/** An interrupted spot machine ends after its notice period multiplied by a factor in this range. */
const NOTICE_FACTOR = { low: 0.5, high: 1.5 };
const MIN_HEARTBEAT_COPY_DELAY_MS = 2000;
/** A machine counts as usable only this long after it is up. */
const USABLE_AFTER_MS = 30_000;

const heartbeatCall = (body: object): Call => ({
  method: 'POST',
  path: '/agent/beat',
  body,
  timeout: HEARTBEAT_TIMEOUT_MS,
});

/** Faults of messages between workers and controllers, in addition to the faults of the network. */
export class WorkerLinks {
  /** Share of heartbeats of which a copy arrives late: after a random delay, or at the next failover. */
  delayedHeartbeatOptions = { share: 0, heldUntilFailover: false };
  /** Share of requests with commands that are executed late and get no answer. */
  lateCommandShare = 0;
  readonly repeatedCommands: RepeatedCommands;
  /** Machines that receive no answers and no commands. */
  readonly inboundLost = new Set<Host>();
  /** Machines whose heartbeats are lost. */
  readonly heartbeatsLost = new Set<Host>();
  private delayedHeartbeats: { readonly from: Host; readonly body: object }[] = [];

  constructor(leaseMs: number) {
    this.repeatedCommands = new RepeatedCommands(leaseMs);
  }

  delayHeartbeat(from: Host, body: object): void {
    this.delayedHeartbeats.push({ from, body });
  }

  takeDelayedHeartbeats(): readonly { readonly from: Host; readonly body: object }[] {
    const heartbeats = this.delayedHeartbeats;
    this.delayedHeartbeats = [];
    return heartbeats;
  }
}

/** A running machine with its worker. */
export interface SimulatedMachine {
  readonly spec: MachineSpec;
  readonly host: Host;
  readonly worker: Worker;
  readonly cloudMachine: CloudMachine;
}

/** Dependencies of machines and their workers on the simulated cluster. */
export interface MachineEnvironment {
  readonly queue: EventQueue;
  readonly random: RandomStream;
  readonly network: Network;
  readonly trace: Trace;
  readonly observer: Observer;
  readonly storage: JobStorage;
  readonly gangs: GangRegistry;
  readonly nodes: readonly ControllerNode[];
  readonly times: WorkerTimes;
  readonly defects: Defects;
  readonly links: WorkerLinks;
  readonly cloud: () => SimulatedCloud;
}

/** Starts a worker on each machine that has booted, and delivers commands and heartbeats. */
export class SimulatedMachines {
  private readonly machinesById = new Map<string, SimulatedMachine>();
  private readonly machinesByAddress = new Map<string, SimulatedMachine>();

  constructor(private readonly environment: MachineEnvironment) {}

  all(): SimulatedMachine[] {
    return [...this.machinesById.values()];
  }

  /** Returns the machines on which a task could start now. */
  usableMachines(): MachineView[] {
    const { queue } = this.environment;
    return this.all()
      .filter(
        (machine) =>
          !machine.worker.tasks.failing && !machine.worker.hanging && machine.worker.interruptionAt === null,
      )
      .filter((machine) => queue.now - machine.cloudMachine.readyAt > USABLE_AFTER_MS)
      .map((machine) => ({
        spec: machine.spec,
        free: machine.worker.tasks.freeResources,
        occupyingTasks: machine.worker.tasks.occupyingTasks(),
      }));
  }

  boot(cloudMachine: CloudMachine): void {
    const { queue, random } = this.environment;
    const { type } = cloudMachine;
    const spec: MachineSpec = {
      id: cloudMachine.id,
      type: type.name,
      zone: cloudMachine.zone,
      spot: cloudMachine.spot,
      cpus: type.cpus,
      gpus: type.gpus,
      memoryGb: type.memoryGb,
    };
    const host = new Host(cloudMachine.id, cloudMachine.zone, queue);
    const machineRandom = random.fork(cloudMachine.id);
    const imageOptions = {
      gbPerS: type.fetchGbPerS * machineRandom.within(FETCH_RATE_FACTOR),
      cacheGb: type.cacheGb,
    };
    const worker = new Worker(spec, host, cloudMachine.endpoint, imageOptions, {
      ...this.environment,
      random: machineRandom,
      controllers: this.environment.nodes.map((n) => n.name),
      sendHeartbeat: (controller, body) => this.sendHeartbeat(host, controller, body),
    });
    worker.tasks.slowness = machineRandom.within(SLOWNESS_FACTOR);
    const machine: SimulatedMachine = { spec, host, worker, cloudMachine };
    this.machinesById.set(cloudMachine.id, machine);
    this.machinesByAddress.set(cloudMachine.endpoint, machine);
  }

  remove(cloudMachine: CloudMachine): void {
    const machine = this.machinesById.get(cloudMachine.id);
    if (!machine) return;
    this.machinesById.delete(cloudMachine.id);
    machine.worker.destroy();
  }

  fail(machine: SimulatedMachine): void {
    this.environment.cloud().fail(machine.cloudMachine);
  }

  /** Interrupts a spot machine with a notice of about `noticeS` seconds; 0 means without notice. */
  interrupt(machine: SimulatedMachine, noticeS: number): void {
    const { queue, random, cloud } = this.environment;
    const delayMs = noticeS * 1000 * random.within(NOTICE_FACTOR);
    if (noticeS > 0) machine.worker.setInterruption(queue.now + noticeS * 1000);
    queue.after(delayMs, () => cloud().interrupt(machine.cloudMachine));
  }

  /** Returns the machine at an address, or null; a removed machine keeps its address and does not answer. */
  endpointAt(address: string): { readonly host: Host; serve(call: Call, reply: Reply): void } | null {
    const machine = this.machinesByAddress.get(address);
    if (!machine) return null;
    return { host: machine.host, serve: (call, reply) => this.serveCommand(machine, call, reply) };
  }

  private serveCommand(machine: SimulatedMachine, call: Call, reply: Reply): void {
    const { links, random } = this.environment;
    if (links.inboundLost.has(machine.host)) return;
    if (call.path === '/orders' && random.chance(links.lateCommandShare)) {
      machine.host.after(random.within(LATE_COMMAND_DELAY_MS), () => machine.worker.serve(call));
      return;
    }
    const response = machine.worker.serve(call);
    reply(response);
    if (call.path !== '/orders' || response.status !== HTTP_STATUS.ok) return;
    links.repeatedCommands.afterAnswer({ host: machine.host, execute: () => machine.worker.serve(call) });
  }

  private async sendHeartbeat(host: Host, controller: number, body: object): Promise<Response | null> {
    const { links, nodes, random, network } = this.environment;
    const node = nodes[controller] as ControllerNode;
    if (random.chance(links.delayedHeartbeatOptions.share)) this.scheduleHeartbeatCopy(host, node, body);
    const call = heartbeatCall(body);
    const outcome = await network.exchange({
      from: host,
      to: node.host,
      timeoutMs: HEARTBEAT_TIMEOUT_MS,
      serve: (reply) => {
        if (links.heartbeatsLost.has(host)) return;
        node.serve(call, (response) => {
          if (!links.inboundLost.has(host)) reply(response);
        });
      },
    });
    return outcome.kind === 'answer' ? outcome : null;
  }

  private scheduleHeartbeatCopy(host: Host, node: ControllerNode, body: object): void {
    const { links, queue, random, times } = this.environment;
    if (links.delayedHeartbeatOptions.heldUntilFailover) {
      links.delayHeartbeat(host, body);
      return;
    }
    const delay = random.between(MIN_HEARTBEAT_COPY_DELAY_MS, 2 * times.leaseMs);
    queue.after(delay, () => this.deliverHeartbeatCopy(node, body));
  }

  /** Delivers a copy of an earlier heartbeat; its answer is discarded. */
  deliverHeartbeatCopy(node: ControllerNode, body: object): void {
    const call = heartbeatCall(body);
    if (node.host.up) node.serve(call, () => undefined);
  }
}
