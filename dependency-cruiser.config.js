/**
 * Checks of imports, part of `npm run lint`: no circles, and no imports from a lower layer to a higher one. Imports of
 * types count. What is left from before the check is listed by file, so that nothing new can come in.
 */

/** From the lowest layer to the highest: a layer may import itself and those before it. */
const LAYERS = {
  // Ids, units, ranges, and the types of jobs and their records.
  model: '^src/(model/|jobs/(spec|record|codec|stored-size|job-record-cache)\\.ts)',
  settings: '^src/(settings|logging)/',
  transports: '^src/(http|peers)/',
  clients: '^src/(store|cloud)/',
  shards: '^src/(shards|leadership)/',
  // What the slices of one controller share.
  core: '^src/core\\.ts',
  slices:
    '^src/(jobs/(?!(spec|record|codec|stored-size|job-record-cache)\\.ts)|(quota|workers|scheduling|overflow|autoscaling)/)',
  // The composition of the slices: the only place that knows all of them.
  controller: '^src/controller/',
  simulation: '^src/simulation/',
  commands: '^src/(cli/|main\\.ts)',
};

/** Imports that run upwards and are still to be mended: by file, what it may import all the same. */
const KNOWN_UPWARD = {};

/** Imports that are part of a circle and still to be mended. */
const KNOWN_CIRCULAR = {};

const exactly = (file) => `^${file.replaceAll('.', '\\.')}$`;

/** One rule for all files but the known ones, and one for each of these. */
function withExceptions(rule, known) {
  const files = Object.keys(known).filter((file) => new RegExp(rule.from.path ?? '').test(file));
  const general = { ...rule, from: { ...rule.from, pathNot: files.map(exactly) } };
  const special = files.map((file) => ({
    ...rule,
    name: `${rule.name}:${file}`,
    from: { path: exactly(file) },
    to: { ...rule.to, pathNot: known[file].map(exactly) },
  }));
  return [general, ...special];
}

const order = Object.keys(LAYERS);
const upward = order.slice(0, -1).flatMap((layer, i) =>
  withExceptions(
    {
      name: `no-upward-import-from-${layer}`,
      comment: `${layer} may not import ${order.slice(i + 1).join(', ')}.`,
      severity: 'error',
      from: { path: LAYERS[layer] },
      to: { path: order.slice(i + 1).map((higher) => LAYERS[higher]) },
    },
    KNOWN_UPWARD,
  ),
);

const circular = withExceptions(
  { name: 'no-circular', severity: 'error', from: {}, to: { circular: true } },
  KNOWN_CIRCULAR,
);

const everyLayer = Object.values(LAYERS);

export default {
  forbidden: [
    ...upward,
    ...circular,
    {
      name: 'file-in-a-layer',
      comment: 'Every file below src belongs to a layer: a new folder is added to LAYERS.',
      severity: 'error',
      from: { path: '^src/', pathNot: everyLayer },
      to: {},
    },
    {
      name: 'import-from-a-layer',
      comment: 'Every file below src belongs to a layer: a new folder is added to LAYERS.',
      severity: 'error',
      from: {},
      to: { path: '^src/', pathNot: everyLayer },
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
