/** Checks that every identifier in the glossary is declared in the sources, and that every outer name is a listed one. */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import typescript from 'typescript';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
const GLOSSARY = 'docs/glossary.md';
const OUTER_NAMES = 'test/docs/outer-names.txt';
/** Stands in the column of outer names for a term that has none. */
const NO_OUTER_NAME = '—';

/** One row of the glossary. */
interface Term {
  readonly term: string;
  readonly identifier: string;
  /** null: the term does not leave the process. */
  readonly outerName: string | null;
}

const codeIn = (cell: string): string => /^`(.+)`$/.exec(cell)?.[1] ?? '';

/** Parses the rows of all tables of the glossary. */
function readTerms(): Term[] {
  const lines = readFileSync(join(ROOT, GLOSSARY), 'utf8').split('\n');
  const rows = lines.filter((line) => line.startsWith('| ') && line.includes('`'));
  return rows.map((row) => {
    const [, term = '', identifier = '', , outerName = ''] = row.split('|').map((cell) => cell.trim());
    return {
      term,
      identifier: codeIn(identifier),
      outerName: outerName === NO_OUTER_NAME ? null : codeIn(outerName),
    };
  });
}

const sourceFiles = (): string[] =>
  readdirSync(join(ROOT, 'src'), { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.ts'))
    .map((file) => join(ROOT, 'src', file));

/** Returns the names that the sources declare: types, classes, functions, variables and members. */
function declaredNames(): Set<string> {
  const names = new Set<string>();
  const visit = (node: typescript.Node): void => {
    const { name } = node as { readonly name?: typescript.Node };
    if (name && typescript.isIdentifier(name) && !typescript.isPropertyAccessExpression(node))
      names.add(name.text);
    typescript.forEachChild(node, visit);
  };
  for (const file of sourceFiles())
    visit(
      typescript.createSourceFile(file, readFileSync(file, 'utf8'), typescript.ScriptTarget.Latest, true),
    );
  return names;
}

const terms = readTerms();

test('the glossary has terms, each with an identifier', () => {
  assert.ok(terms.length > 0);
  assert.deepEqual(
    terms.filter(({ identifier, outerName }) => identifier === '' || outerName === ''),
    [],
  );
});

test('every identifier in the glossary is declared in the sources', () => {
  const declared = declaredNames();
  const missing = terms.filter(({ identifier }) => !declared.has(identifier));
  assert.deepEqual(
    missing.map(({ identifier }) => identifier),
    [],
  );
});

test('every outer name in the glossary is in the list of outer names', () => {
  const listed = new Set(readFileSync(join(ROOT, OUTER_NAMES), 'utf8').split('\n'));
  const missing = terms.filter(({ outerName }) => outerName !== null && !listed.has(outerName));
  assert.deepEqual(
    missing.map(({ outerName }) => outerName),
    [],
  );
});
