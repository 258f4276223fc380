/** The controller processes of a soak run, and the sockets by which they reach simulated services and each other. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parse, stringify } from 'smol-toml';
import type { Call } from '../../src/http/client.js';
import type { Host } from '../../src/simulation/clock.js';
import type { CloudMachine } from '../../src/simulation/cloud-machine.js';
import { formatSettings } from '../../src/simulation/settings-text.js';
import type { Simulation, RunEnvironment } from '../../src/simulation/simulation.js';
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

/** Starts and closes the processes and sockets of one run. */
export class SoakSurroundings implements RunEnvironment {
  readonly queue = new RealTimeQueue();
  readonly nodes: ProcessNode[] = [];
  /** Third octets of the addresses: 0 controllers, 10 the store, 11 the cloud, from 20 on proxies. */
  private readonly controllerAddressPrefix: string;
  readonly machineAddressPrefix: string;
  private readonly servers: { close(): unknown; closeAllConnections?(): void }[] = [];

  constructor(
    private readonly folder: string,
    { controllerPrefix, machinePrefix, reservation }: LoopbackNetworks,
  ) {
    this.controllerAddressPrefix = controllerPrefix;
    this.machineAddressPrefix = machinePrefix;
    this.servers.push(reservation);
  }

  createNode: RunEnvironment['createNode'] = (index, settings, environment, simulation) => {
    const name = `n${index}`;
    const settingsFile = join(this.folder, `${name}.toml`);
    const table = parse(formatSettings(simulation.scenario.deployment, index)) as unknown as SettingsTable;
    writeFileSync(settingsFile, stringify(this.withLoopbackAddresses(table, index)));
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
    return `${this.controllerAddressPrefix}.0.${index + 1}`;
  }

  /** The address of the proxy through which one controller connects to another. */
  private proxyHost(callerIndex: number, targetIndex: number): string {
    return `${this.controllerAddressPrefix}.${callerIndex + 20}.${targetIndex + 1}`;
  }

  /** Replaces the addresses of a controller's settings by loopback addresses of this run. */
  private withLoopbackAddresses(table: SettingsTable, index: number): object {
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
        cloud: `${this.controllerAddressPrefix}.11.${index + 1}:${PORTS.cloud}`,
        state: `${this.controllerAddressPrefix}.10.${index + 1}:${PORTS.store}`,
      },
    };
  }

  /** Opens the gateways of every controller to the services, and the proxies between controllers. */
  async openServices(simulation: Simulation): Promise<void> {
    const { network } = simulation;
    for (const [index, node] of this.nodes.entries()) {
      const caller = (): Host => node.host;
      const store = {
        caller,
        target: simulation.storeHost,
        serve: simulation.storeService.serve.bind(simulation.storeService),
      };
      this.servers.push(
        await openGateway(`${this.controllerAddressPrefix}.10.${index + 1}`, PORTS.store, network, store),
      );
      const cloud = {
        caller,
        target: simulation.cloudHost,
        serve: (_: Host, call: Call, reply: Parameters<ProcessNode['serve']>[1]) =>
          simulation.cloud.serve(call, reply),
      };
      this.servers.push(
        await openGateway(`${this.controllerAddressPrefix}.11.${index + 1}`, PORTS.cloud, network, cloud),
      );
      for (const [peerIndex, peer] of this.nodes.entries()) {
        if (peerIndex === index) continue;
        const route = {
          host: this.proxyHost(index, peerIndex),
          port: PORTS.peers,
          targetAddress: this.controllerHost(peerIndex),
          from: caller,
          to: () => peer.host,
        };
        this.servers.push(await openPeerProxy(route, network));
      }
    }
  }

  /**
   * Opens the gateway through which controllers send commands to a machine. All controllers use the same address, so the
   * fencing token identifies the controller that sent a command.
   */
  onMachineReady(machine: CloudMachine, simulation: Simulation): void {
    const endpoint = simulation.machines.endpointAt(machine.endpoint);
    if (!endpoint) return;
    const [host = '', port = ''] = machine.endpoint.split(':');
    const gateway = {
      caller: (call: Call) =>
        this.hostWithToken(simulation, (call.body as { helm?: number } | undefined)?.helm),
      target: endpoint.host,
      serve: (_: Host, call: Call, reply: Parameters<ProcessNode['serve']>[1]) => endpoint.serve(call, reply),
    };
    void openGateway(host, Number(port), simulation.network, gateway).then((server) =>
      this.servers.push(server),
    );
  }

  onMachineRemoved(): void {
    // The gateway stays open: the simulated network does not answer requests to a removed machine.
  }

  private readonly hostByToken = new Map<number, Host>();

  /** Records which controller acquired a range of fencing tokens; the range ends before the next recorded token. */
  recordToken(token: number, node: string): void {
    const host = this.nodes.find((candidate) => candidate.name === node)?.host;
    if (host) this.hostByToken.set(token, host);
  }

  /** Returns the host of the controller that acquired the token's range, or the users' host if the token is unknown. */
  private hostWithToken(simulation: Simulation, token = -1): Host {
    const firstTokens = [...this.hostByToken.keys()].filter((first) => first <= token);
    return this.hostByToken.get(Math.max(...firstTokens)) ?? simulation.userHost;
  }

  close(): void {
    for (const node of this.nodes) node.kill();
    for (const server of this.servers) {
      server.closeAllConnections?.();
      server.close();
    }
  }
}
