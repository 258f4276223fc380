/**
 * Import checks, part of `npm run lint`: no circular imports, and no imports from a lower layer to a higher one. Type
 * imports are checked too. Violations that predate the checks are listed by file, so that new violations fail.
 */

/** Layers from the lowest to the highest: a layer may import from itself and from the layers before it. */
const LAYERS = {
  // Ids, units, ranges, and the types of jobs and their records.
  model: '^src/(model/|jobs/(spec|record|codec|stored-size|job-record-cache)\\.ts)',
  settings: '^src/(settings|logging)/',
  transports: '^src/(http|peers)/',
  clients: '^src/(store|cloud)/',
  shards: '^src/(shards|leadership)/',
  // State and services that the slices of one controller share.
  core: '^src/core\\.ts',
  slices:
    '^src/(jobs/(?!(spec|record|codec|stored-size|job-record-cache)\\.ts)|(quota|workers|scheduling|overflow|autoscaling)/)',
  // Composes the slices; only this layer imports all of them.
  controller: '^src/controller/',
  simulation: '^src/simulation/',
  commands: '^src/(cli/|main\\.ts)',
};

/** Upward imports that remain to be fixed: patterns of the imports that are still allowed, by importing file. */
const KNOWN_UPWARD = {};

/** Circular imports that remain to be fixed: patterns of the imports that are still allowed, by importing file. */
const KNOWN_CIRCULAR = {};

const exactPathPattern = (file) => `^${file.replaceAll('.', '\\.')}$`;

/** Returns a rule for all files without known violations, and a separate rule for each file with known violations. */
function withExceptions(rule, knownViolations) {
  const files = Object.keys(knownViolations).filter((file) => new RegExp(rule.from.path ?? '').test(file));
  const generalRule = { ...rule, from: { ...rule.from, pathNot: files.map(exactPathPattern) } };
  const exceptionRules = files.map((file) => ({
    ...rule,
    name: `${rule.name}:${file}`,
    from: { path: exactPathPattern(file) },
    to: { ...rule.to, pathNot: knownViolations[file].map(exactPathPattern) },
  }));
  return [generalRule, ...exceptionRules];
}

const layerNames = Object.keys(LAYERS);
const upwardRules = layerNames.slice(0, -1).flatMap((layer, i) =>
  withExceptions(
    {
      name: `no-upward-import-from-${layer}`,
      comment: `${layer} may not import ${layerNames.slice(i + 1).join(', ')}.`,
      severity: 'error',
      from: { path: LAYERS[layer] },
      to: { path: layerNames.slice(i + 1).map((higher) => LAYERS[higher]) },
    },
    KNOWN_UPWARD,
  ),
);

const circularRules = withExceptions(
  { name: 'no-circular', severity: 'error', from: {}, to: { circular: true } },
  KNOWN_CIRCULAR,
);

const layerPatterns = Object.values(LAYERS);

export default {
  forbidden: [
    ...upwardRules,
    ...circularRules,
    {
      name: 'file-in-a-layer',
      comment: 'Every file below src belongs to a layer: a new folder is added to LAYERS.',
      severity: 'error',
      from: { path: '^src/', pathNot: layerPatterns },
      to: {},
    },
    {
      name: 'import-from-a-layer',
      comment: 'Every file below src belongs to a layer: a new folder is added to LAYERS.',
      severity: 'error',
      from: {},
      to: { path: '^src/', pathNot: layerPatterns },
    },
    {
      name: 'no-import-of-tests',
      severity: 'error',
      from: { path: '^src/' },
      to: { path: '^test/' },
    },
    {
      name: 'resolvable',
      severity: 'error',
      from: {},
      to: { couldNotResolve: true },
    },
  ],
  options: {
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.json' },
    doNotFollow: { path: 'node_modules' },
    enhancedResolveOptions: { exportsFields: ['exports'], conditionNames: ['import', 'node', 'default'] },
  },
};
