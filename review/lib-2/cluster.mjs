/** A small deployment: controllers as processes, and stand-ins for all that they talk to. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { Cloud } from './cloud.mjs';
import { Controller, runCommand } from './controller.mjs';
import { RunLog } from './log.mjs';
import { callJson, controllerHosts, HOST, Link, portOf, sleep } from './net-tools.mjs';
import { settingsText } from './site.mjs';
import { StateService } from './state.mjs';
import { Jobs, Users } from './users.mjs';

export { SMALL_SITE } from './site.mjs';

export class Cluster {
  log = new RunLog();
  jobs = new Jobs();
  folder = mkdtempSync(join(tmpdir(), 'cleatport-case-'));

  static async open(site) {
    const cluster = new Cluster();
    cluster.site = site;
    await cluster.openServices();
    await cluster.openControllers();
    return cluster;
  }

  async openServices() {
    const { site, log } = this;
    this.state = new StateService(site.state);
    this.nodes = [];
    const hosts = controllerHosts(site.nodeZones.length);
    for (const [i, domain] of site.nodeZones.entries()) {
      const label = `berth-${i}`;
      const [address, mesh] = [`${hosts[i]}:8080`, `${hosts[i]}:8081`];
      const stateServer = await this.state.openFor(label);
      const stateLink = await Link.open(`${HOST}:${portOf(stateServer)}`);
      this.nodes.push({ label, domain, address, mesh, stateLink, peerLinks: new Map() });
    }
    const workerOptions = { terms: site.workers, nodes: this.nodes, jobs: this.jobs };
    const { hulls, capacity, bootMs } = site;
    this.cloud = await new Cloud({
      hulls,
      capacity,
      bootMs,
      listLagS: site.cloud.listLagS,
      workerOptions,
      log,
    }).open();
    this.users = new Users(this.jobs, log, this.nodes);
  }

  async openControllers() {
    const cloud = `${HOST}:${portOf(this.cloud.server)}`;
    const command = runCommand();
    for (const node of this.nodes) {
      const peers = [];
      for (const peer of this.nodes) {
        if (peer === node) continue;
        const link = await Link.open(peer.mesh);
        node.peerLinks.set(peer.label, link);
        peers.push({ ...peer, address: link.address });
      }
      const settingsFile = join(this.folder, `${node.label}.toml`);
      const services = { cloud, state: node.stateLink.address };
      writeFileSync(settingsFile, settingsText(this.site, node, peers, services));
      const logFile = join(this.folder, `${node.label}.log`);
      node.process = new Controller({ command, settingsFile, logFile, label: node.label, log: this.log });
    }
  }

  startAll() {
    for (const node of this.nodes) node.process.start();
  }

  /** Cuts a controller off the state service and/or the other controllers, in both directions. */
  cut(index, { state = false, peers = false }, mode) {
    const node = this.nodes[index];
    this.log.add('cut', { node: node.label, state, peers, mode });
    if (state) node.stateLink.cut(mode);
    if (peers) for (const link of this.linksOf(node)) link.cut(mode);
  }

  heal(index) {
    const node = this.nodes[index];
    this.log.add('heal', { node: node.label });
    node.stateLink.heal();
    for (const link of this.linksOf(node)) link.heal();
  }

  linksOf(node) {
    const links = [...node.peerLinks.values()];
    for (const peer of this.nodes) if (peer !== node) links.push(peer.peerLinks.get(node.label));
    return links;
  }

  async waitUntil(condition, timeoutMs, what) {
    const until = this.log.now() + timeoutMs;
    while (!(await condition())) {
      if (this.log.now() > until) throw new Error(`not ready: ${what}`);
      await sleep(100);
    }
  }

  /** Waits until every controller is healthy and every machine has been answered by its leader. */
  async waitReady(timeoutMs = 20_000) {
    const isUp = async () => {
      for (const { address } of this.nodes)
        if ((await callJson(address, 'GET', '/up', undefined, 1000)).status !== 200) return false;
      return true;
    };
    await this.waitUntil(isUp, timeoutMs, 'controllers');
    const workers = [...this.cloud.machines.values()].filter(({ late }) => !late).map(({ worker }) => worker);
    await this.waitUntil(() => workers.every(({ helm }) => helm > 0), timeoutMs, 'machines');
  }

  async close(recordFile) {
    for (const node of this.nodes) await node.process.kill();
    this.cloud.close();
    this.state.close();
    for (const node of this.nodes) {
      node.stateLink.close();
      for (const link of node.peerLinks.values()) link.close();
    }
    if (recordFile) this.log.write(recordFile);
    if (process.env.CASE_KEEP === '1') process.stdout.write(`${this.folder}\n`);
    else rmSync(this.folder, { recursive: true, force: true });
  }
}
