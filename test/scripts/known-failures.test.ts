/** Which runs of the tests pass, given the list of known failures. */
import assert from 'node:assert/strict';
import { test } from 'node:test';

interface KnownFailures {
  readonly tests: ReadonlyMap<string, string>;
  readonly outside: readonly string[];
  readonly defects: readonly string[];
}

interface Verdict {
  readonly report: readonly string[];
  readonly passed: boolean;
}

interface KnownFailuresModule {
  readonly parseKnownFailures: (text: string, isFile: (path: string) => boolean) => KnownFailures;
  readonly judgeRun: (
    known: KnownFailures,
    results: ReadonlyMap<string, boolean>,
    exitCode: number,
  ) => Verdict;
}

/** A plain JavaScript module that runs without a build; relative to the compiled version of this file. */
const MODULE_URL = new URL('../../../scripts/known-failures.mjs', import.meta.url);
const { parseKnownFailures, judgeRun } = (await import(MODULE_URL.href)) as KnownFailuresModule;

const RED = 'a test that fails | its cause | Known failures';
const OUTSIDE = 'outside the run: bash review/1/run.sh | its cause | What else the review found';
const parse = (...lines: string[]): KnownFailures =>
  parseKnownFailures(lines.join('\n'), (path) => path === 'review/1/run.sh');
const judge = (known: KnownFailures, failed: readonly string[], exitCode = failed.length): Verdict =>
  judgeRun(known, new Map([['passes', true], ...failed.map((name) => [name, false] as const)]), exitCode);

test('listed failures and cases outside the run pass and are printed, however many they are', () => {
  const names = Array.from({ length: 5 }, (_, i) => `red ${i}`);
  const known = parse(...names.map((name) => `${name} | its cause | Known failures`), '', OUTSIDE);
  assert.deepEqual(known.defects, []);
  const { report, passed } = judge(known, names);
  assert.ok(passed);
  assert.equal(report.length, 6);
  assert.equal(report.at(-1), `known red: ${OUTSIDE}`);
});

test('a failure that is not listed fails the run, and so does a listed test that passes or is gone', () => {
  const known = parse(RED);
  assert.ok(judge(known, ['a test that fails']).passed);
  assert.ok(!judge(known, ['a test that fails', 'another one']).passed);
  assert.ok(!judge(known, []).passed);
});

test('a run without a result, or whose runner fails without a failed test, fails', () => {
  assert.ok(!judgeRun(parse(), new Map(), 0).passed);
  assert.ok(!judge(parse(), [], 1).passed);
  assert.ok(judge(parse(), []).passed);
});

test('a malformed list fails the run', () => {
  const lines = [
    'a test that fails',
    'a test that fails | | Known failures',
    'a | b | c | d',
    'outside the run: bash review/9/run.sh | its cause | an issue',
    'outside the run: | its cause | an issue',
  ];
  for (const line of lines) {
    const known = parse(line);
    assert.equal(known.defects.length, 1, line);
    assert.equal(known.tests.size + known.outside.length, 0, line);
    assert.ok(!judge(known, []).passed, line);
  }
  assert.equal(parse(RED, RED).defects.length, 1, 'listed twice');
});
