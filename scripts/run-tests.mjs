/**
 * Runs all built tests. Failures that KNOWN-RED.txt lists do not fail the run and are printed at the end. Any other
 * failure fails it, and so does a listed test that passes or no longer exists: the list must say what is true.
 * A line of the list: name of the test | cause | issue.
 */
import { spawn } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import process from 'node:process';
import { createInterface } from 'node:readline';

const LIST = 'KNOWN-RED.txt';
const TESTS = join('target', 'test');
const MOST_KNOWN = 3;

function knownFailures() {
  if (!existsSync(LIST)) return new Map();
  const lines = readFileSync(LIST, 'utf8')
    .split('\n')
    .filter((line) => line.trim() !== '');
  return new Map(lines.map((line) => [line.split('|')[0].trim(), line]));
}

/** Records the result that a line of TAP output tells of one test; other lines are ignored. */
function readResult(line, results) {
  const [, not, name] = /^(not )?ok \d+ - (.*?)(?: # .*)?$/.exec(line) ?? [];
  if (name !== undefined) results.set(name, not === undefined);
}

async function run() {
  const files = readdirSync(TESTS, { recursive: true }).filter((name) => name.endsWith('.test.js'));
  const args = ['--test', '--test-reporter=tap', ...files.map((name) => join(TESTS, name))];
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'inherit'] });
  const exit = new Promise((resolve) => child.on('exit', resolve));
  const results = new Map();
  for await (const line of createInterface({ input: child.stdout })) {
    process.stdout.write(`${line}\n`);
    readResult(line, results);
  }
  return { results, code: await exit };
}

const known = knownFailures();
const { results, code } = await run();
const failed = [...results].filter(([, passed]) => !passed).map(([name]) => name);
const unexpected = failed.filter((name) => !known.has(name));
const untrue = [...known.keys()].filter((name) => !failed.includes(name));
for (const name of failed.filter((name) => known.has(name)))
  process.stdout.write(`known red: ${known.get(name)}\n`);
for (const name of unexpected) process.stdout.write(`failed: ${name}\n`);
for (const name of untrue) process.stdout.write(`listed in ${LIST} and did not fail: ${name}\n`);
// A run that ended without saying which test failed has failed all the same.
const unexplained = code !== 0 && failed.length === 0;
const bad =
  unexpected.length + untrue.length > 0 || unexplained || known.size > MOST_KNOWN || results.size === 0;
process.exitCode = bad ? 1 : 0;
