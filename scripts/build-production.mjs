/**
 * Builds the version that is in production from the repository's history into `target/production/`, for tests that run it
 * alongside the current sources. `deploy/service.toml` names the commit. Fails if the history does not contain it.
 */
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import process from 'node:process';
import { fileURLToPath } from 'node:url';

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));
const SOURCES = join(ROOT, 'target', 'production-sources');
const OUTPUT = join(ROOT, 'target', 'production');
/** The commit of the last complete build; the same commit is not built again. */
const COMMIT_FILE = join(OUTPUT, 'COMMIT');

function productionCommit() {
  const text = readFileSync(join(ROOT, 'deploy', 'service.toml'), 'utf8');
  const commit = /^production = "([0-9a-f]{40})"$/m.exec(text)?.[1];
  if (commit === undefined)
    throw new Error('deploy/service.toml: expected production = "COMMIT" (40 hex digits)');
  return commit;
}

/** Extracts the sources of a commit into `target/production-sources/`. */
function extractSources(commit) {
  rmSync(SOURCES, { recursive: true, force: true });
  mkdirSync(SOURCES, { recursive: true });
  const archive = execFileSync('git', ['archive', commit, 'src', 'package.json', 'tsconfig.json'], {
    cwd: ROOT,
    maxBuffer: 256 * 1024 * 1024,
  });
  execFileSync('tar', ['-x', '-C', SOURCES], { input: archive });
  symlinkSync(join(ROOT, 'node_modules'), join(SOURCES, 'node_modules'));
}

function compile() {
  const compilerConfig = {
    extends: './tsconfig.json',
    compilerOptions: { rootDir: '.', outDir: OUTPUT, noEmit: false },
    include: ['src/**/*.ts'],
  };
  writeFileSync(join(SOURCES, 'tsconfig.production.json'), JSON.stringify(compilerConfig));
  const compiler = join(ROOT, 'node_modules', 'typescript', 'bin', 'tsc');
  execFileSync(process.execPath, [compiler, '-p', 'tsconfig.production.json'], {
    cwd: SOURCES,
    stdio: 'inherit',
  });
}

const commit = productionCommit();
if (existsSync(COMMIT_FILE) && readFileSync(COMMIT_FILE, 'utf8') === commit) process.exit(0);
rmSync(OUTPUT, { recursive: true, force: true });
extractSources(commit);
compile();
writeFileSync(COMMIT_FILE, commit);
