/**
 * Checks that the names and texts that leave the process still appear in the sources that define them: users, workers,
 * peers, stored data and operators' tools depend on their exact spelling.
 */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync, statSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import typescript from 'typescript';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
const LIST = 'test/docs/outer-names.txt';

/** Names of one kind, and the sources that define them. */
interface NameGroup {
  readonly title: string;
  readonly sources: readonly string[];
  readonly names: readonly string[];
}

/** Parses the list: a group is a comment line `# TITLE: SOURCES`, followed by one name on each line. */
function readGroups(): NameGroup[] {
  const groups = readFileSync(join(ROOT, LIST), 'utf8').split('\n\n').slice(1);
  return groups.map((group) => {
    const [heading = '', ...names] = group.trim().split('\n');
    const [, title = '', sources = ''] = /^# (.+): (.+)$/.exec(heading) ?? [];
    return { title, sources: sources.split(', '), names };
  });
}

/** Returns the file at a path, or all sources below it if it is a folder. */
function filesAt(path: string): string[] {
  if (!statSync(join(ROOT, path)).isDirectory()) return [path];
  const entries = readdirSync(join(ROOT, path), { recursive: true, encoding: 'utf8' });
  return entries.filter((entry) => /\.(ts|mjs)$/.test(entry)).map((entry) => `${path}/${entry}`);
}

const isMemberName = (node: typescript.Node): node is typescript.Identifier =>
  typescript.isIdentifier(node) &&
  (typescript.isPropertyAssignment(node.parent) ||
    typescript.isShorthandPropertyAssignment(node.parent) ||
    typescript.isPropertySignature(node.parent)) &&
  node.parent.name === node;

const isTextLiteral = (node: typescript.Node): node is typescript.LiteralLikeNode =>
  typescript.isStringLiteralLike(node) ||
  typescript.isTemplateHead(node) ||
  typescript.isTemplateMiddleOrTemplateTail(node);

/** Finds the texts of a source that can leave the process: literals, and member names of objects and interfaces. */
function visibleTextsOf(file: string): string[] {
  const content = readFileSync(join(ROOT, file), 'utf8');
  if (file.endsWith('.toml')) return content.split('\n');
  const texts: string[] = [];
  const visit = (node: typescript.Node): void => {
    if (typescript.isImportDeclaration(node)) return;
    if (isMemberName(node) || isTextLiteral(node)) texts.push(node.text);
    if (typescript.isRegularExpressionLiteral(node)) texts.push(node.text);
    typescript.forEachChild(node, visit);
  };
  visit(typescript.createSourceFile(file, content, typescript.ScriptTarget.Latest, true));
  return texts;
}

/** Whether a text contains the name, other than as part of a longer word. */
function containsName(text: string, name: string): boolean {
  for (let at = text.indexOf(name); at >= 0; at = text.indexOf(name, at + 1)) {
    const before = text[at - 1] ?? '';
    const after = text[at + name.length] ?? '';
    if (!/\w/.test(before) && !(/\w/.test(after) && /\w$/.test(name))) return true;
  }
  return false;
}

const groups = readGroups();

test('the list of outer names has groups, each with a title, sources and names', () => {
  assert.ok(groups.length > 0);
  for (const { title, names } of groups) {
    assert.notEqual(title, '');
    assert.ok(names.length > 0, title);
  }
});

for (const { title, sources, names } of groups) {
  test(`outer names appear in their sources: ${title}`, () => {
    const texts = sources.flatMap(filesAt).flatMap(visibleTextsOf);
    assert.deepEqual(
      names.filter((name) => !texts.some((text) => containsName(text, name))),
      [],
    );
  });
}
