/** A small deployment on loopback: controller processes, started with the deploy file's command, and the stand-ins. */
import { spawn } from 'node:child_process';
import {
  appendFileSync,
  closeSync,
  existsSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { URL } from 'node:url';
import { Cloud } from './cloud.mjs';
import { HIMAL, settingsText, TYPES, ZONE } from './deployment.mjs';
import { StateService } from './state-service.mjs';
import { call, freePorts, HOST, pause } from './wire.mjs';
import { Worker } from './worker.mjs';

const ROOT = new URL('../../', import.meta.url);
const PRODUCTION_PROGRAM = new URL('target/production/src/main.js', ROOT);

/** Returns the program and arguments of the deploy file's `run` command. */
function runCommand() {
  const text = readFileSync(new URL('deploy/service.toml', ROOT), 'utf8');
  const command = /^run = "(.*)"$/m.exec(text);
  if (!command) throw new Error('the deploy file has no run command');
  return command[1].split(' ');
}

/** Starts and ends everything of one run, and writes the record. */
export class Cluster {
  startedAt = performance.now();
  nodes = [];
  workers = new Map();
  jobs = new Map();
  /** Tasks on machines: leg to the names of the machines that have it. */
  onMachines = new Map();
  starts = [];
  twice = [];

  constructor(recordFile, { controllers = 3, machines = 3, deployment = HIMAL, type = TYPES[0] } = {}) {
    this.recordFile = recordFile;
    writeFileSync(recordFile, '');
    this.deployment = deployment;
    this.controllerCount = controllers;
    this.machineCount = machines;
    this.type = type;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    process.once('exit', () => this.kill());
    process.once('uncaughtException', (error) => {
      process.stderr.write(`the case could not run: ${error.stack}\n`);
      this.kill();
      process.exit(2);
    });
    process.once('SIGTERM', () => {
      this.record('the time of the run is over');
      this.close();
      process.exit(2);
    });
  }

  get seconds() {
    return (performance.now() - this.startedAt) / 1000;
  }

  record = (text) => {
    appendFileSync(this.recordFile, `${this.seconds.toFixed(3).padStart(8)}  ${text}\n`);
  };

  onTask = (event, worker, task, cause) => {
    const holders = this.onMachines.get(task.leg) ?? new Set();
    this.onMachines.set(task.leg, holders);
    if (event === 'start') {
      this.record(`${worker.name}: starts ${task.leg} (attempt ${task.sailing})`);
      this.starts.push({ leg: task.leg, machine: worker.name, atS: this.seconds });
      if (holders.size > 0 && !holders.has(worker.name)) {
        this.twice.push({ leg: task.leg, machines: [...holders, worker.name] });
        this.record(`TWICE: ${task.leg} starts on ${worker.name} while it is on ${[...holders].join(', ')}`);
      }
      holders.add(worker.name);
    } else {
      holders.delete(worker.name);
      this.record(`${worker.name}: ${task.leg} ends: ${cause}`);
    }
  };

  /** Opens the stand-ins and writes the settings; starts no controller. */
  async open() {
    const { controllerCount, machineCount, deployment } = this;
    const ports = await freePorts(controllerCount * 3 + 1 + machineCount);
    const cloudPort = ports.pop();
    const workerPorts = ports.splice(0, machineCount);
    this.state = new StateService(deployment.state);
    this.cloud = new Cloud([this.type], this.record, (name) => {
      const worker = this.workers.get(name);
      worker?.close();
      for (const [leg, holders] of this.onMachines)
        if (holders.delete(name)) this.record(`${name}: ${leg} is gone`);
    });
    await this.cloud.listen(cloudPort);
    for (let index = 0; index < controllerCount; index += 1) {
      const [port, peerPort, statePort] = ports.splice(0, 3);
      const name = `berth-${index}`;
      this.nodes.push({ name, port, peerPort, statePort, child: null, ends: 0 });
      await this.state.listen(name, statePort);
    }
    this.writeSettings(cloudPort);
    for (let index = 0; index < machineCount; index += 1) {
      const name = `m-${String(index).padStart(6, '0')}`;
      const port = workerPorts[index];
      const machine = { name, endpoint: `${HOST}:${port}`, type: this.type.name, zone: ZONE, spot: false };
      this.cloud.add(machine);
      this.workers.set(
        name,
        new Worker({
          ...machine,
          port,
          nodes: this.nodes,
          jobs: this.jobs,
          settings: deployment.workers,
          record: this.record,
          onTask: this.onTask,
        }),
      );
    }
  }

  writeSettings(cloudPort) {
    const { deployment, nodes } = this;
    const earlier = { ...deployment, state: { ...deployment.state, next: undefined } };
    for (const node of nodes) {
      writeFileSync(this.settingsFile(node), settingsText(deployment, nodes, node, cloudPort));
      writeFileSync(this.settingsFile(node, '-earlier'), settingsText(earlier, nodes, node, cloudPort));
    }
  }

  /** The file with the ending `-earlier` has no later limits. */
  settingsFile(node, ending = '') {
    return join(this.folder, `${node.name}${ending}.toml`);
  }

  /**
   * Starts a controller with the command of the deploy file; `version` is `production` for the version in production,
   * which `review/build.sh` builds. It does not know the later limits of the state service. If it could not be built, the
   * current version is started with settings that do not name these limits.
   */
  startNode(node, version = 'current') {
    const isBuilt = existsSync(PRODUCTION_PROGRAM);
    const [program, ...args] = runCommand().map((part) =>
      version === 'production' && isBuilt ? part.replace('target/src/', 'target/production/src/') : part,
    );
    const settingsFile = this.settingsFile(node, version === 'production' && !isBuilt ? '-earlier' : '');
    if (version === 'production' && !isBuilt)
      this.record(`${node.name}: the version in production is not built`);
    const log = openSync(join(this.folder, `${node.name}.log`), 'a');
    const env = { ...process.env, LOG_LEVEL: process.env.REVIEW_LOG ?? 'info' };
    const child = spawn(program, [...args, settingsFile], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', log],
      env,
    });
    closeSync(log);
    child.once('exit', (code, signal) => {
      if (node.child !== child) return;
      node.child = null;
      node.ends += 1;
      this.record(`${node.name}: ended by itself (${code ?? signal})`);
    });
    node.child = child;
    this.record(`${node.name}: is started (${version} version)`);
  }

  /** Ends a controller with no signal that it could handle. */
  endNode(node) {
    const { child } = node;
    node.child = null;
    child?.kill('SIGKILL');
    this.record(`${node.name}: is killed`);
  }

  async startWorkers() {
    for (const worker of this.workers.values()) await worker.start();
  }

  /** Waits until the condition holds; returns whether it did within the time. */
  async until(condition, timeoutS) {
    const deadline = performance.now() + timeoutS * 1000;
    while (performance.now() < deadline) {
      if (await condition()) return true;
      await pause(50);
    }
    return false;
  }

  async isUp(node) {
    if (!node.child) return false;
    return (await call(node.port, 'GET', '/up', undefined, 1000)).status === 200;
  }

  untilUp(timeoutS = 20) {
    return this.until(async () => {
      for (const node of this.nodes) if (!(await this.isUp(node))) return false;
      return true;
    }, timeoutS);
  }

  /** Returns a controller's log. */
  log(node) {
    return readFileSync(join(this.folder, `${node.name}.log`), 'utf8');
  }

  kill() {
    for (const node of this.nodes) {
      const { child } = node;
      node.child = null;
      child?.kill('SIGKILL');
    }
  }

  close() {
    this.kill();
    for (const worker of this.workers.values()) worker.close();
    this.state.close();
    this.cloud.close();
    if (process.env.REVIEW_KEEP === undefined) rmSync(this.folder, { recursive: true, force: true });
    else process.stderr.write(`${this.folder}\n`);
  }
}
