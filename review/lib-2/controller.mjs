/** One controller: a process that is started with the command of the deploy file. */
import { spawn } from 'node:child_process';
import { closeSync, openSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import process from 'node:process';
import { fileURLToPath, URL } from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
/** All controllers of this process, so that none outlives it. */
const controllers = new Set();
process.on('exit', () => {
  for (const { child } of controllers) child?.kill('SIGKILL');
});

for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => process.exit(2));

/** One controller process. */
export class Controller {
  child = null;

  constructor(fields) {
    Object.assign(this, fields);
    controllers.add(this);
  }

  start() {
    const [program, ...args] = this.command;
    const descriptor = openSync(this.logFile, 'a');
    const env = { ...process.env, LOG_LEVEL: process.env.CASE_LOG_LEVEL ?? 'info' };
    const stdio = ['ignore', 'ignore', descriptor];
    const child = spawn(program, [...args, this.settingsFile], { cwd: ROOT, stdio, env });
    closeSync(descriptor);
    child.on('exit', (code, signal) => {
      if (this.child === child)
        this.log.add('controller ended by itself', { node: this.label, code, signal });
    });
    this.child = child;
    this.log.add('controller starts', { node: this.label });
  }

  signal(name) {
    this.log.add('signal', { node: this.label, name });
    this.child?.kill(name);
  }

  kill() {
    const { child } = this;
    this.child = null;
    if (!child) return Promise.resolve();
    this.log.add('controller killed', { node: this.label });
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGKILL');
    return ended;
  }
}

/** The command of the deploy file; the path of the settings file follows. */
export function runCommand() {
  const text = readFileSync(join(ROOT, 'deploy/service.toml'), 'utf8');
  const command = /^run = "(.*)"$/m.exec(text)[1].split(' ');
  return command[0] === 'node' ? [process.execPath, ...command.slice(1)] : command;
}
