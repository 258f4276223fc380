/** The controller processes of one soak run, and the sockets by which they reach the simulated services and each other. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parse, stringify } from 'smol-toml';
import type { Call } from '../../src/http/client.js';
import type { Host } from '../../src/simulation/clock.js';
import type { CloudMachine } from '../../src/simulation/cloud-machine.js';
import { formatSettings } from '../../src/simulation/settings-text.js';
import type { Simulation, Surroundings } from '../../src/simulation/simulation.js';
import { openGateway, openPeerProxy } from './gateways.js';
import type { LoopbackNetworks } from './loopback-networks.js';
import { ProcessNode } from './process-node.js';
import { RealTimeQueue } from './real-time-queue.js';

const MAIN_PROGRAM = fileURLToPath(new URL('../../src/main.js', import.meta.url));
const PORTS = { users: 8080, peers: 8081, store: 2379, cloud: 8443, worker: 9000 } as const;

interface SettingsTable {
  bind: string;
  mesh_addr: string;
  known: { label: string; peer_addr: string }[];
  services: { cloud: string; state: string };
}

/** The processes and sockets of one run. */
export class SoakSurroundings implements Surroundings {
  readonly queue = new RealTimeQueue();
  readonly nodes: ProcessNode[] = [];
  private readonly network: string;
  readonly machineAddressPrefix: string;
  private readonly servers: { close(): unknown; closeAllConnections?(): void }[] = [];

  constructor(
    private readonly folder: string,
    { controllers, machines, reservation }: LoopbackNetworks,
  ) {
    this.network = controllers;
    this.machineAddressPrefix = machines;
    this.servers.push(reservation);
  }

  createNode: Surroundings['createNode'] = (index, settings, environment, simulation) => {
    const name = `n${index}`;
    const settingsFile = join(this.folder, `${name}.toml`);
    const table = parse(formatSettings(simulation.scenario.deployment, index)) as unknown as SettingsTable;
    writeFileSync(settingsFile, stringify(this.onLoopback(table, index)));
    const node = new ProcessNode(name, settings, environment, {
      program: MAIN_PROGRAM,
      settingsFile,
      logFile: join(this.folder, `${name}.log`),
      host: this.controllerHost(index),
      port: PORTS.users,
    });
    this.nodes.push(node);
    return node;
  };

  private controllerHost(index: number): string {
    return `${this.network}.0.${index + 1}`;
  }

  /** Where controller `from` finds controller `to`: a proxy of their own. */
  private proxyHost(from: number, to: number): string {
    return `${this.network}.${from + 20}.${to + 1}`;
  }

  private onLoopback(table: SettingsTable, index: number): object {
    const host = this.controllerHost(index);
    return {
      ...table,
      bind: `${host}:${PORTS.users}`,
      mesh_addr: `${host}:${PORTS.peers}`,
      known: table.known.map((peer) => ({
        ...peer,
        peer_addr: `${this.proxyHost(index, Number(peer.label.slice(1)))}:${PORTS.peers}`,
      })),
      services: {
        cloud: `${this.network}.11.${index + 1}:${PORTS.cloud}`,
        state: `${this.network}.10.${index + 1}:${PORTS.store}`,
      },
    };
  }

  /** Opens the services of every controller and the links between controllers. */
  async openServices(simulation: Simulation): Promise<void> {
    const { network } = simulation;
    for (const [index, node] of this.nodes.entries()) {
      const caller = (): Host => node.host;
      const store = {
        caller,
        target: simulation.storeHost,
        serve: simulation.storeService.serve.bind(simulation.storeService),
      };
      this.servers.push(await openGateway(`${this.network}.10.${index + 1}`, PORTS.store, network, store));
      const cloud = {
        caller,
        target: simulation.cloudHost,
        serve: (_: Host, call: Call, reply: Parameters<ProcessNode['serve']>[1]) =>
          simulation.cloud.serve(call, reply),
      };
      this.servers.push(await openGateway(`${this.network}.11.${index + 1}`, PORTS.cloud, network, cloud));
      for (const [other, peer] of this.nodes.entries()) {
        if (other === index) continue;
        const route = {
          host: this.proxyHost(index, other),
          port: PORTS.peers,
          targetHost: this.controllerHost(other),
          from: caller,
          to: () => peer.host,
        };
        this.servers.push(await openPeerProxy(route, network));
      }
    }
  }

  /** Commands to a machine: the fencing token tells which controller they come from, where the address cannot. */
  onMachineReady(machine: CloudMachine, simulation: Simulation): void {
    const endpoint = simulation.machines.endpointAt(machine.endpoint);
    if (!endpoint) return;
    const [host = '', port = ''] = machine.endpoint.split(':');
    const gateway = {
      caller: (call: Call) =>
        this.leaderUnder(simulation, (call.body as { helm?: number } | undefined)?.helm),
      target: endpoint.host,
      serve: (_: Host, call: Call, reply: Parameters<ProcessNode['serve']>[1]) => endpoint.serve(call, reply),
    };
    void openGateway(host, Number(port), simulation.network, gateway).then((server) =>
      this.servers.push(server),
    );
  }

  onMachineRemoved(): void {
    // Its listener stays: calls to a machine that has gone get no answer from the simulated network.
  }

  private readonly hostByToken = new Map<number, Host>();

  /** Follows the store: which controller acquired which fencing token. */
  recordToken(token: number, node: string): void {
    const host = this.nodes.find((other) => other.name === node)?.host;
    if (host) this.hostByToken.set(token, host);
  }

  private leaderUnder(simulation: Simulation, token: number | undefined): Host {
    return this.hostByToken.get(token ?? -1) ?? simulation.userHost;
  }

  close(): void {
    for (const node of this.nodes) node.kill();
    for (const server of this.servers) {
      server.closeAllConnections?.();
      server.close();
    }
  }
}
