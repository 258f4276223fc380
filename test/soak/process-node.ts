/** Replaces a simulated controller by a real process: starts, kills and pauses it, and forwards requests to it. */
import { spawn, type ChildProcess } from 'node:child_process';
import { openSync, closeSync } from 'node:fs';
import { request } from 'node:http';
import type { Call } from '../../src/http/client.js';
import { HTTP_STATUS } from '../../src/http/status.js';
import type { Settings } from '../../src/settings/settings.js';
import { ControllerNode, type ControllerEnvironment } from '../../src/simulation/controller-node.js';
import type { Reply } from '../../src/simulation/store-service.js';

/** The program and files of a controller process, and the address where it serves users. */
export interface ProcessOptions {
  readonly program: string;
  readonly settingsFile: string;
  readonly logFile: string;
  readonly host: string;
  readonly port: number;
}

/** One controller of a soak run. */
export class ProcessNode extends ControllerNode {
  private child: ChildProcess | null = null;
  /** How often the process exited without being killed by the run. */
  unexpectedEnds = 0;

  constructor(
    name: string,
    settings: Settings,
    environment: ControllerEnvironment,
    private readonly options: ProcessOptions,
  ) {
    super(name, settings, 0, environment);
    this.host.onPause = (durationMs) => this.pauseProcess(durationMs);
  }

  override start(): void {
    if (this.host.up) return;
    this.host.start();
    this.environment.trace.add(`${this.name} starts`);
    const logDescriptor = openSync(this.options.logFile, 'a');
    const args = [this.options.program, 'serve', '--config', this.options.settingsFile];
    const env = { ...process.env, LOG_LEVEL: 'debug' };
    const child = spawn(process.execPath, args, { stdio: ['ignore', 'ignore', logDescriptor], env });
    closeSync(logDescriptor);
    child.on('exit', (code, signal) => {
      if (this.child !== child) return;
      this.unexpectedEnds += 1;
      this.environment.trace.add(`${this.name} ended by itself: ${code ?? signal}`);
    });
    this.child = child;
  }

  override stop(): void {
    if (!this.host.up) return;
    this.environment.trace.add(`${this.name} ends`);
    this.host.stop();
    this.kill();
  }

  /** Kills the process regardless of the simulated host's state, so that no process outlives the run. */
  kill(): void {
    const { child } = this;
    this.child = null;
    child?.kill('SIGKILL');
  }

  private pauseProcess(durationMs: number): void {
    const { child } = this;
    child?.kill('SIGSTOP');
    this.environment.queue.after(durationMs, () => child?.kill('SIGCONT'));
  }

  /** Forwards a request that has arrived at the simulated host to the process. */
  override serve(call: Call, reply: Reply): void {
    const { host, port } = this.options;
    const body = call.body === undefined ? '' : JSON.stringify(call.body);
    const headers = { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) };
    const options = { host, port, method: call.method, path: call.path, headers, timeout: call.timeout };
    const forwarded = request(options, (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('end', () => {
        const retryAfterS = Number(response.headers['retry-after'] ?? 0);
        reply({ status: response.statusCode ?? 0, body: parseBody(chunks), retryAfterS });
      });
    });
    forwarded.on('timeout', () => forwarded.destroy());
    // The process does not listen yet: answers like a controller that is starting.
    forwarded.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED')
        reply({ status: HTTP_STATUS.serviceUnavailable, body: { error: 'starting' } });
    });
    forwarded.end(body);
  }
}

function parseBody(chunks: readonly Buffer[]): unknown {
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
  } catch {
    return null;
  }
}
