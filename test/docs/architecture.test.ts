/** The documentation names files and store keys that exist: a renamed file or key must be renamed there too. */
import assert from 'node:assert/strict';
import { existsSync, readFileSync, statSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { ACTIVE_JOBS_PREFIX, finalStateKey } from '../../src/jobs/codec.js';
import type { JobId } from '../../src/model/units.js';
import { QUOTA_PREFIX } from '../../src/quota/codec.js';
import {
  ALIVE_PREFIX,
  CATALOG_KEY,
  MACHINES_PREFIX,
  SHARDS_PREFIX,
  TIME_KEY,
  TOKEN_KEY,
  WATCHED_PREFIX,
} from '../../src/shards/codec.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
const ARCHITECTURE = 'docs/architecture.md';
const DOCUMENTS = [
  'README.md',
  ARCHITECTURE,
  'docs/design.md',
  'docs/operations.md',
  'docs/simulation.md',
  'docs/questions.md',
] as const;

const FINAL_STATES_PREFIX = finalStateKey('' as JobId) as string;
/** Every key, or beginning of a key, under which the controllers store something. */
const STORE_KEYS: readonly string[] = [
  SHARDS_PREFIX,
  MACHINES_PREFIX,
  ALIVE_PREFIX,
  ACTIVE_JOBS_PREFIX,
  QUOTA_PREFIX,
  FINAL_STATES_PREFIX,
  TOKEN_KEY,
  TIME_KEY,
  CATALOG_KEY,
];

/** The text without fenced code blocks: these show commands and whole files. */
const proseOf = (document: string): string =>
  readFileSync(join(ROOT, document), 'utf8').replaceAll(/^```.*?^```$/gms, '');

const codeSpansOf = (document: string): string[] =>
  [...proseOf(document).matchAll(/`([^`\n]+)`/g)].map((match) => match[1] ?? '');

/** Paths below the folders of the repository, wherever a code span names one. */
const pathsIn = (span: string): string[] =>
  span.match(/(?<![\w./-])(?:src|test|scripts|docs|scenarios)\/[\w./-]*/g) ?? [];

/** Targets of links to other files of the repository, without their anchors. */
const linkTargetsOf = (document: string): string[] =>
  [...proseOf(document).matchAll(/\]\(([^)#\s]+)(?:#[^)]*)?\)/g)]
    .map((match) => match[1] ?? '')
    .filter((target) => !/^[a-z]+:/.test(target));

/** A path that ends in a slash is a folder. */
function pathExists(path: string): boolean {
  const file = join(ROOT, path);
  return existsSync(file) && (!path.endsWith('/') || statSync(file).isDirectory());
}

/** The constant part of a key: `c/live/{job}` is below `c/live/`. */
const keyPrefixOf = (span: string): string => span.replace(/\{.*$/, '');
const isStoreKey = (span: string): boolean =>
  span.startsWith(WATCHED_PREFIX) || span.startsWith(FINAL_STATES_PREFIX);

for (const document of DOCUMENTS) {
  test(`${document} names only files that exist`, () => {
    const paths = codeSpansOf(document).flatMap(pathsIn);
    assert.deepEqual(
      paths.filter((path) => !pathExists(path)),
      [],
    );
  });

  test(`${document} names sources and tests by their paths from the root`, () => {
    const sourceFiles = codeSpansOf(document).flatMap((span) => span.match(/[\w./-]+\.ts(?!\w)/g) ?? []);
    assert.deepEqual(
      sourceFiles.filter((file) => !/^(?:src|test)\//.test(file)),
      [],
    );
  });

  test(`${document} links only to files that exist`, () => {
    const folder = dirname(document);
    assert.deepEqual(
      linkTargetsOf(document).filter((target) => !pathExists(join(folder, target))),
      [],
    );
  });
}

test(`${ARCHITECTURE} names only store keys that a codec defines`, () => {
  const named = codeSpansOf(ARCHITECTURE).filter(isStoreKey).map(keyPrefixOf);
  assert.deepEqual(
    named.filter((key) => key !== WATCHED_PREFIX && !STORE_KEYS.includes(key)),
    [],
  );
});

test(`${ARCHITECTURE} names every store key that a codec defines`, () => {
  const named = new Set(codeSpansOf(ARCHITECTURE).filter(isStoreKey).map(keyPrefixOf));
  assert.deepEqual(
    STORE_KEYS.filter((key) => !named.has(key)),
    [],
  );
});

test('README.md and docs/design.md lead to the architecture page', () => {
  assert.ok(linkTargetsOf('README.md').includes(ARCHITECTURE));
  assert.ok(linkTargetsOf('docs/design.md').includes('architecture.md'));
});
