/**
 * Runs all built tests. Failures listed in KNOWN-RED.txt do not fail the run and are printed at the end; any other
 * failure fails it. `known-failures.mjs` describes the list.
 */
import { spawn } from 'node:child_process';
import { existsSync, readdirSync, readFileSync, statSync } from 'node:fs';
import { join } from 'node:path';
import process from 'node:process';
import { createInterface } from 'node:readline';
import { judgeRun, parseKnownFailures } from './known-failures.mjs';

const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';
const TESTS_FOLDER = join('target', 'test');

const isFile = (path) => existsSync(path) && statSync(path).isFile();

/** Records the result of a test from a line of TAP output; ignores other lines. */
function recordResult(line, results) {
  const [, failedPrefix, name] = /^(not )?ok \d+ - (.*?)(?: # .*)?$/.exec(line) ?? [];
  if (name !== undefined) results.set(name, failedPrefix === undefined);
}

async function run() {
  const files = readdirSync(TESTS_FOLDER, { recursive: true }).filter((name) => name.endsWith('.test.js'));
  const args = ['--test', '--test-reporter=tap', ...files.map((name) => join(TESTS_FOLDER, name))];
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
  const exit = new Promise((resolve) => child.on('exit', resolve));
  const results = new Map();
  for await (const line of createInterface({ input: child.stdout })) {
    process.stdout.write(`${line}\n`);
    recordResult(line, results);
  }
  return { results, exitCode: await exit };
}

const listText = isFile(KNOWN_FAILURES_FILE) ? readFileSync(KNOWN_FAILURES_FILE, 'utf8') : '';
const known = parseKnownFailures(listText, isFile);
const { results, exitCode } = await run();
const { report, passed } = judgeRun(known, results, exitCode);
for (const line of report) process.stdout.write(`${line}\n`);
process.exitCode = passed ? 0 : 1;
