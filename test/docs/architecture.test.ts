/** Checks that the files and store keys that the documentation names exist, so that it is updated with each rename. */
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
  'docs/glossary.md',
  'docs/operations.md',
  'docs/simulation.md',
  'docs/questions.md',
] as const;

const FINAL_STATES_PREFIX = finalStateKey('' as JobId) as string;
/** Every key and key prefix under which the controllers store data. */
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

/** Returns the text without fenced code blocks, which show commands and whole files. */
const proseOf = (document: string): string =>
  readFileSync(join(ROOT, document), 'utf8').replaceAll(/^```.*?^```$/gms, '');

const codeSpansOf = (document: string): string[] =>
  [...proseOf(document).matchAll(/`([^`\n]+)`/g)].map((match) => match[1] ?? '');

/** Finds the paths in a code span that are below the repository's main folders. */
const pathsIn = (span: string): string[] =>
  span.match(/(?<![\w./-])(?:src|test|scripts|docs|scenarios)\/[\w./-]*/g) ?? [];

/** Finds the targets of links to other files of the repository, without their anchors. */
const linkTargetsOf = (document: string): string[] =>
  [...proseOf(document).matchAll(/\]\(([^)#\s]+)(?:#[^)]*)?\)/g)]
    .map((match) => match[1] ?? '')
    .filter((target) => !/^[a-z]+:/.test(target));

/** Whether a path exists; a path that ends in a slash must be a folder. */
function pathExists(path: string): boolean {
  const file = join(ROOT, path);
  return existsSync(file) && (!path.endsWith('/') || statSync(file).isDirectory());
}

/** Returns the constant prefix of a key: `c/live/` for `c/live/{job}`. */
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
  const namedKeys = codeSpansOf(ARCHITECTURE).filter(isStoreKey).map(keyPrefixOf);
  assert.deepEqual(
    namedKeys.filter((key) => key !== WATCHED_PREFIX && !STORE_KEYS.includes(key)),
    [],
  );
});

test(`${ARCHITECTURE} names every store key that a codec defines`, () => {
  const namedKeys = new Set(codeSpansOf(ARCHITECTURE).filter(isStoreKey).map(keyPrefixOf));
  assert.deepEqual(
    STORE_KEYS.filter((key) => !namedKeys.has(key)),
    [],
  );
});

test('README.md and docs/design.md link to the architecture page', () => {
  assert.ok(linkTargetsOf('README.md').includes(ARCHITECTURE));
  assert.ok(linkTargetsOf('docs/design.md').includes('architecture.md'));
});
