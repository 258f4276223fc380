import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { test } from 'node:test';
import { parseLogLevel, parseSettings, parseTuning } from '../../src/settings/settings.js';
import { settingsText } from '../support/simulated-cluster.js';

/** Returns the message of the error that the function throws, or `valid`. */
const errorMessage = (parse: () => unknown): string => {
  try {
    parse();
    return 'valid';
  } catch (error) {
    return (error as Error).message;
  }
};

test('the error for an invalid setting names the file, the field and the expected value', () => {
  const good = settingsText(0);
  const errorAfterReplacing = (original: string | RegExp, replacement: string): string =>
    errorMessage(() => parseSettings(good.replace(original, replacement), 'a.toml'));
  assert.equal(
    errorMessage(() => parseSettings(`${good}\n[later]\nfield = 1\n`, 'a.toml')),
    'valid',
  );
  assert.match(errorAfterReplacing('label = "n0"', 'label = '), /^a\.toml: expected valid TOML/);
  assert.equal(errorAfterReplacing('domain = "east"\n', ''), 'a.toml: domain: expected a text, got nothing');
  assert.equal(
    errorAfterReplacing('10.0.0.1:8080', 'here'),
    'a.toml: bind: expected an address like 10.0.0.1:8080, got "here"',
  );
  assert.equal(
    errorAfterReplacing('cancel_s = 32.0', 'cancel_s = -1'),
    'a.toml: facts.workers.cancel_s: expected a number above 0, got -1',
  );
  assert.equal(
    errorAfterReplacing('cancel_s = 32.0', 'cancel_s = 10'),
    'a.toml: facts.workers.cancel_s: expected more than lease_s (12), got 10',
  );
  assert.equal(
    errorAfterReplacing('cpus = 12.0', 'cpus = "x"'),
    'a.toml: facts.teams[0].cpus: expected a number, got "x"',
  );
  assert.equal(
    errorAfterReplacing('name = "blue"', 'name = "red"'),
    'a.toml: facts.teams[1].name: expected a name used once, got "red" again',
  );
  assert.equal(
    errorAfterReplacing('txn_ops = 12', 'txn_ops = 1.5'),
    'a.toml: facts.state.txn_ops: expected a whole number, got 1.5',
  );
});

test('a team without any limit, or with a guarantee above its limit, is an error that names the team', () => {
  const teams = /\[\[facts\.teams\]\][^]*?(?=\[facts\.workers\])/;
  const withTeam = (amounts: string): string =>
    errorMessage(() => {
      const team = `[[facts.teams]]\nname = "red"\n${amounts.replaceAll(', ', '\n')}\n`;
      parseSettings(settingsText(0).replace(teams, team), 'a.toml');
    });
  const noLimit =
    'a.toml: facts.teams: expected team "red" to have a limit: cpus_max or gpus_max above 0, got none';
  assert.deepEqual(
    {
      cpusOnly: withTeam('cpus = 64.0, cpus_max = 112.0, gpus = 0.0, gpus_max = 0.0'),
      gpusOnly: withTeam('cpus = 0.0, cpus_max = 0.0, gpus = 1500.0, gpus_max = 5000.0'),
      leftOut: withTeam('gpus = 1500.0, gpus_max = 5000.0'),
      both: withTeam('cpus = 64.0, cpus_max = 64.0, gpus = 8.0, gpus_max = 16.0'),
      guaranteeWithoutLimit: withTeam('cpus = 64.0, cpus_max = 0.0, gpus = 0.0, gpus_max = 16.0'),
      neither: withTeam('cpus = 0.0, cpus_max = 0.0, gpus = 0.0, gpus_max = 0.0'),
      neitherGiven: withTeam('cpus = 4.0'),
      cpusAbove: withTeam('cpus = 64.5, cpus_max = 64.0'),
      gpusAbove: withTeam('cpus = 4.0, cpus_max = 64.0, gpus = 9.0, gpus_max = 8.0'),
    },
    {
      cpusOnly: 'valid',
      gpusOnly: 'valid',
      leftOut: 'valid',
      both: 'valid',
      guaranteeWithoutLimit: 'valid',
      neither: noLimit,
      neitherGiven: noLimit,
      cpusAbove: 'a.toml: facts.teams: expected team "red" to have cpus of at most cpus_max (64), got 64.5',
      gpusAbove: 'a.toml: facts.teams: expected team "red" to have gpus of at most gpus_max (8), got 9',
    },
  );
});

test("operators' properties: unknown names and bad values are errors, comments and defaults are accepted", () => {
  assert.equal(parseTuning('# quiet\nfleet.idle.return.ms = 45000\n', 'p').idleMachineTimeout, 45000);
  assert.equal(parseTuning('', 'p').announcementExpiry, 10000);
  assert.match(
    errorMessage(() => parseTuning('fleet.idle = 1', 'p')),
    /^p: fleet\.idle: expected one of /,
  );
  assert.equal(
    errorMessage(() => parseTuning('random.seed = much', 'p')),
    'p: random.seed: expected a whole number from 0 to 2147483647, got "much"',
  );
  assert.equal(
    errorMessage(() => parseLogLevel('loud')),
    'environment: LOG_LEVEL: expected error, info or debug, got "loud"',
  );
});

const MAIN = fileURLToPath(new URL('../../src/main.js', import.meta.url));
const run = (...args: string[]): { code: number | null; out: string; err: string } => {
  const result = spawnSync(process.execPath, [MAIN, ...args], {
    encoding: 'utf8',
    env: { ...process.env, LOG_LEVEL: 'info' },
  });
  return { code: result.status, out: result.stdout, err: result.stderr };
};

test('the command line: help, version, check, and exit code 2 with a one-line error for invalid settings', () => {
  const dir = mkdtempSync(join(tmpdir(), 'cleatport-'));
  const good = join(dir, 'good.toml');
  const bad = join(dir, 'bad.toml');
  writeFileSync(good, settingsText(1));
  writeFileSync(bad, settingsText(1).replace('label = "n1"', ''));
  assert.match(run('--help').out, /serve .*check /s);
  assert.match(run('--version').out, /^\d+\.\d+\.\d+\n$/);
  assert.deepEqual(run('check', '--config', good), {
    code: 0,
    out: `${good}: valid (controller n1, 3 parts)\n`,
    err: '',
  });
  const failed = run('serve', '--config', bad);
  assert.equal(failed.code, 2);
  assert.equal(failed.err, `cleatport: ${bad}: label: expected a text, got nothing\n`);
  assert.equal(run('serve', '--config', join(dir, 'none.toml')).code, 2);
  writeFileSync(bad, settingsText(1).replace('cpus = 12.0', 'cpus = 25.0'));
  const above = 'expected team "red" to have cpus of at most cpus_max (24), got 25';
  assert.deepEqual(run('check', '--config', bad), {
    code: 2,
    out: '',
    err: `cleatport: ${bad}: facts.teams: ${above}\n`,
  });
  assert.equal(run('serve').code, 2);
  assert.equal(run('dance').code, 2);
});

test('an empty or unset log level means the default', () => {
  assert.equal(parseLogLevel(''), 'info');
  assert.equal(parseLogLevel(undefined), 'info');
});
