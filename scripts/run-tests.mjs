/**
 * Runs all built tests. Failures listed in KNOWN-RED.txt do not fail the run and are printed at the end. Any other
 * failure fails the run, and so does a listed test that passes or no longer exists, so that the list stays accurate.
 * Each line of the list has the form: name of the test | cause | issue.
 */
import { spawn } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import process from 'node:process';
import { createInterface } from 'node:readline';

const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';
const TESTS_FOLDER = join('target', 'test');
const MAX_KNOWN_FAILURES = 3;

/** Reads the lines of the list by the names of their tests. */
function readKnownFailures() {
  if (!existsSync(KNOWN_FAILURES_FILE)) return new Map();
  const lines = readFileSync(KNOWN_FAILURES_FILE, 'utf8')
    .split('\n')
    .filter((line) => line.trim() !== '');
  return new Map(lines.map((line) => [line.split('|')[0].trim(), line]));
}

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
  return { results, code: await exit };
}

const knownFailures = readKnownFailures();
const { results, code } = await run();
const failed = [...results].filter(([, passed]) => !passed).map(([name]) => name);
const unexpected = failed.filter((name) => !knownFailures.has(name));
const outdated = [...knownFailures.keys()].filter((name) => !failed.includes(name));
for (const name of failed.filter((name) => knownFailures.has(name)))
  process.stdout.write(`known red: ${knownFailures.get(name)}\n`);
for (const name of unexpected) process.stdout.write(`failed: ${name}\n`);
for (const name of outdated)
  process.stdout.write(`listed in ${KNOWN_FAILURES_FILE} and did not fail: ${name}\n`);
// The test runner failed but reported no failed test.
const failedWithoutReport = code !== 0 && failed.length === 0;
const runFailed =
  unexpected.length + outdated.length > 0 ||
  failedWithoutReport ||
  knownFailures.size > MAX_KNOWN_FAILURES ||
  results.size === 0;
process.exitCode = runFailed ? 1 : 0;
