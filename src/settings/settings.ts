/** The platform's settings file (TOML) and the operators' own (`.properties`), read and checked once. */
import { readFileSync } from 'node:fs';
import { parse as parseToml } from 'smol-toml';
import { parse as parseProperties } from 'dot-properties';
import * as v from 'valibot';
import { RESOURCE_KINDS, UNLIMITED, ZERO, type Resources } from '../model/resources.js';
import type { Address, Millis, ControllerId, ShardId, Seconds, TeamId, ZoneId } from '../model/units.js';

/** A setting that ends the start: one line naming file, field and what was expected. */
export class SettingsError extends Error {}

const nonNegativeNumber = v.pipe(
  v.number('a number'),
  v.finite('a finite number'),
  v.minValue(0, 'a number of at least 0'),
);
const positiveNumber = v.pipe(
  v.number('a number'),
  v.finite('a finite number'),
  v.gtValue(0, 'a number above 0'),
);
const positiveInteger = v.pipe(
  v.number('a whole number'),
  v.integer('a whole number'),
  v.minValue(1, 'a whole number of at least 1'),
);
const nonEmptyString = v.pipe(v.string('a text'), v.nonEmpty('a text that is not empty'));
const addressString = v.pipe(
  v.string('an address like 10.0.0.1:8080'),
  v.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'an address like 10.0.0.1:8080'),
  v.check((a) => Number(a.slice(a.indexOf(':') + 1)) <= 65535, 'a port of at most 65535'),
);
const tableOf = <T extends v.ObjectEntries>(entries: T) => v.object(entries, 'a table with all its fields');

const objectiveSchema = v.object({
  kind: v.string(),
  class: v.optional(v.nullable(v.string())),
  times: v.optional(v.nullable(v.number())),
});

/** Settings of earlier deployments don't say how long a gang's tasks wait for each other. */
const DEFAULT_GANG_WAIT_S = 30;

const settingsSchema = tableOf({
  label: nonEmptyString,
  domain: nonEmptyString,
  bind: addressString,
  mesh_addr: addressString,
  known: v.optional(
    v.array(
      tableOf({ label: nonEmptyString, domain: nonEmptyString, peer_addr: addressString }),
      'a list of tables',
    ),
    [],
  ),
  services: tableOf({ cloud: addressString, state: addressString }),
  facts: tableOf({
    zones: v.array(nonEmptyString, 'a list of texts'),
    teams: v.array(
      tableOf({
        name: nonEmptyString,
        cpus: v.optional(nonNegativeNumber, 0),
        cpus_max: v.optional(nonNegativeNumber, 0),
        gpus: v.optional(nonNegativeNumber, 0),
        gpus_max: v.optional(nonNegativeNumber, 0),
      }),
      'a list of tables',
    ),
    workers: tableOf({
      report_s: positiveNumber,
      lease_s: positiveNumber,
      cancel_s: positiveNumber,
      gang_wait_s: v.optional(positiveNumber, DEFAULT_GANG_WAIT_S),
    }),
    state: tableOf({
      rps: positiveNumber,
      write_rps: positiveNumber,
      value_kb: positiveNumber,
      txn_ops: positiveInteger,
      // Limits that will hold from some moment on.
      next: v.optional(
        v.object({
          rps: v.optional(positiveNumber),
          write_rps: v.optional(positiveNumber),
          value_kb: v.optional(positiveNumber),
          txn_ops: v.optional(positiveInteger),
        }),
        {},
      ),
    }),
    cloud: tableOf({ rps: positiveNumber, list_lag_s: nonNegativeNumber }),
    quota: tableOf({ max_connections: positiveInteger }),
    // Aims are a help for ranking, never a reason not to start.
    objectives: v.optional(v.fallback(v.array(objectiveSchema), []), []),
  }),
});

export interface Peer {
  readonly node: ControllerId;
  readonly zone: ZoneId;
  readonly address: Address;
  readonly shard: ShardId;
}

export interface Team {
  readonly name: TeamId;
  /** What the team need not wait for others for; a resource of 0 has no guarantee and is not counted. */
  readonly guaranteed: Resources;
  /** What its tasks may use at most; infinite where the settings give no limit. */
  readonly quota: Resources;
}

export interface Settings {
  readonly node: ControllerId;
  readonly zone: ZoneId;
  readonly shard: ShardId;
  readonly listenAddress: Address;
  readonly peerListenAddress: Address;
  /** The other controllers. */
  readonly peers: readonly Peer[];
  /** Every part with its home controller, in part order. */
  readonly shards: readonly { shard: ShardId; node: ControllerId; zone: ZoneId }[];
  readonly cloudAddress: Address;
  readonly storeAddress: Address;
  readonly zones: readonly ZoneId[];
  readonly teams: ReadonlyMap<TeamId, Team>;
  readonly heartbeatIntervalS: Seconds;
  readonly leaseS: Seconds;
  readonly cancelS: Seconds;
  /** How long a gang's task waits for the others before it gives up. */
  readonly gangWaitS: Seconds;
  /** Requests and changes a second that the state service takes now, and from some moment on. */
  readonly storeRps: number;
  readonly storeWriteRps: number;
  readonly nextStoreRps: number;
  readonly nextStoreWriteRps: number;
  /** The smaller of what holds now and later: what is larger may be refused at any moment. */
  readonly maxValueBytes: number;
  readonly maxTransactionOps: number;
  readonly cloudRps: number;
  readonly listLagS: Seconds;
  readonly maxConnections: number;
  /** By class: up to which multiple of a deadline being done still counts for its users. */
  readonly deadlineFactorByClass: ReadonlyMap<string, number>;
}

type RawTeam = v.InferOutput<typeof settingsSchema>['facts']['teams'][number];

/** Places the controllers in name order: every one derives the same parts from its own file. */
function assignShards(raw: v.InferOutput<typeof settingsSchema>): Settings['shards'] {
  const all = [{ label: raw.label, domain: raw.domain }, ...raw.known];
  const sorted = [...all].sort((a, b) => (a.label < b.label ? -1 : 1));
  return sorted.map((controller, index) => ({
    shard: index as ShardId,
    node: controller.label as ControllerId,
    zone: controller.domain as ZoneId,
  }));
}

function fieldPath(issue: v.BaseIssue<unknown>): string {
  const path = issue.path ?? [];
  return path
    .map((p) => (typeof p.key === 'number' ? `[${p.key}]` : `.${String(p.key)}`))
    .join('')
    .slice(1);
}

interface AnySchema {
  readonly message?: unknown;
  readonly entries?: Readonly<Record<string, AnySchema>>;
  readonly item?: AnySchema;
  readonly wrapped?: AnySchema;
}

/** What is expected at a place: a missing field is reported by its table, which only knows that it is missing. */
function expectedTypeAt(issue: v.BaseIssue<unknown>): string {
  let current: AnySchema | undefined = settingsSchema;
  for (const step of issue.path ?? []) {
    current = current?.wrapped ?? current;
    current = typeof step.key === 'number' ? current?.item : current?.entries?.[String(step.key)];
  }
  return typeof current?.message === 'string' ? current.message : issue.message;
}

/** A guarantee or limit of 0 is none. */
function parseTeam(raw: RawTeam, file: string): Team {
  const guaranteed = { ...ZERO, cpus: raw.cpus, gpus: raw.gpus };
  const quota = { ...UNLIMITED, cpus: raw.cpus_max || Infinity, gpus: raw.gpus_max || Infinity };
  const reject = (expected: string): never => {
    throw new SettingsError(`${file}: facts.teams: expected team "${raw.name}" to have ${expected}`);
  };
  if (RESOURCE_KINDS.every((kind) => quota[kind] === Infinity))
    reject('a limit: cpus_max or gpus_max above 0, got none');
  for (const kind of ['cpus', 'gpus'] as const) {
    if (guaranteed[kind] > quota[kind])
      reject(`${kind} of at most ${kind}_max (${quota[kind]}), got ${guaranteed[kind]}`);
  }
  return { name: raw.name as TeamId, guaranteed, quota };
}

function parseTeams(raw: v.InferOutput<typeof settingsSchema>, file: string): Map<TeamId, Team> {
  const teams = new Map<TeamId, Team>();
  raw.facts.teams.forEach((team, index) => {
    const id = team.name as TeamId;
    if (teams.has(id))
      throw new SettingsError(
        `${file}: facts.teams[${index}].name: expected a name used once, got "${team.name}" again`,
      );
    teams.set(id, parseTeam(team, file));
  });
  return teams;
}

function parseDeadlineFactors(raw: v.InferOutput<typeof settingsSchema>): Map<string, number> {
  const factors = new Map<string, number>();
  for (const objective of raw.facts.objectives) {
    if (objective.kind !== 'deadline' || !objective.class) continue;
    factors.set(objective.class, Math.max(factors.get(objective.class) ?? 1, objective.times ?? 1));
  }
  return factors;
}

type StoreLimits = Pick<
  Settings,
  'storeRps' | 'storeWriteRps' | 'nextStoreRps' | 'nextStoreWriteRps' | 'maxValueBytes' | 'maxTransactionOps'
>;

function parseStoreLimits(raw: v.InferOutput<typeof settingsSchema>['facts']['state']): StoreLimits {
  const { next } = raw;
  const lower = (now: number, later: number | undefined): number => Math.min(now, later ?? now);
  return {
    storeRps: raw.rps,
    storeWriteRps: raw.write_rps,
    nextStoreRps: lower(raw.rps, next.rps),
    nextStoreWriteRps: lower(raw.write_rps, next.write_rps),
    maxValueBytes: Math.floor(lower(raw.value_kb, next.value_kb) * 1024),
    maxTransactionOps: lower(raw.txn_ops, next.txn_ops),
  };
}

function buildSettings(raw: v.InferOutput<typeof settingsSchema>, file: string): Settings {
  const shards = assignShards(raw);
  if (new Set(shards.map((p) => p.node)).size !== shards.length) {
    throw new SettingsError(`${file}: known: expected labels that differ from each other and from label`);
  }
  const shardOf = (node: string): ShardId =>
    (shards.find((p) => p.node === node) as { shard: ShardId }).shard;
  const workers = raw.facts.workers;
  if (workers.cancel_s <= workers.lease_s) {
    throw new SettingsError(
      `${file}: facts.workers.cancel_s: expected more than lease_s (${workers.lease_s}), got ${workers.cancel_s}`,
    );
  }
  return {
    node: raw.label as ControllerId,
    zone: raw.domain as ZoneId,
    shard: shardOf(raw.label),
    listenAddress: raw.bind as Address,
    peerListenAddress: raw.mesh_addr as Address,
    peers: raw.known.map((peer) => ({
      node: peer.label as ControllerId,
      zone: peer.domain as ZoneId,
      address: peer.peer_addr as Address,
      shard: shardOf(peer.label),
    })),
    shards,
    cloudAddress: raw.services.cloud as Address,
    storeAddress: raw.services.state as Address,
    zones: raw.facts.zones as ZoneId[],
    teams: parseTeams(raw, file),
    heartbeatIntervalS: workers.report_s as Seconds,
    leaseS: workers.lease_s as Seconds,
    cancelS: workers.cancel_s as Seconds,
    gangWaitS: workers.gang_wait_s as Seconds,
    ...parseStoreLimits(raw.facts.state),
    cloudRps: raw.facts.cloud.rps,
    listLagS: raw.facts.cloud.list_lag_s as Seconds,
    maxConnections: raw.facts.quota.max_connections,
    deadlineFactorByClass: parseDeadlineFactors(raw),
  };
}

function readTextFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(
      `${file}: expected a readable file (${(error as NodeJS.ErrnoException).code ?? 'error'})`,
    );
  }
}

export function parseSettings(text: string, file: string): Settings {
  let data: unknown;
  try {
    data = parseToml(text);
  } catch (error) {
    throw new SettingsError(`${file}: expected valid TOML: ${(error as Error).message.split('\n')[0] ?? ''}`);
  }
  const result = v.safeParse(settingsSchema, data, { abortEarly: true });
  if (!result.success) {
    const issue = result.issues[0];
    const got = issue.received === 'undefined' ? 'nothing' : issue.received;
    const expected = issue.received === 'undefined' ? expectedTypeAt(issue) : issue.message;
    throw new SettingsError(`${file}: ${fieldPath(issue) || '(top)'}: expected ${expected}, got ${got}`);
  }
  return buildSettings(result.output, file);
}

export const loadSettings = (file: string): Settings => parseSettings(readTextFile(file), file);

/** The operators' own settings with their defaults; durations in milliseconds. */
export interface Tuning {
  readonly announcementInterval: Millis;
  readonly announcementExpiry: Millis;
  readonly membershipTtl: Millis;
  readonly watchTimeout: Millis;
  readonly idleMachineTimeout: Millis;
  readonly silentMachineTimeout: Millis;
  readonly seed: number;
}

interface TuningProperty {
  readonly propertyName: string;
  readonly field: keyof Tuning;
  readonly defaultValue: number;
  readonly min: number;
  readonly max: number;
  readonly description: string;
}

export const TUNING_PROPERTIES: readonly TuningProperty[] = [
  {
    propertyName: 'flock.check.interval.ms',
    field: 'announcementInterval',
    defaultValue: 1000,
    min: 100,
    max: 60000,
    description: 'announce free room and review quotas at least this often',
  },
  {
    propertyName: 'flock.announce.expiry.ms',
    field: 'announcementExpiry',
    defaultValue: 10000,
    min: 1000,
    max: 120000,
    description: 'age at which an announcement is worth nothing',
  },
  {
    propertyName: 'parts.alive.ttl.ms',
    field: 'membershipTtl',
    defaultValue: 3000,
    min: 1000,
    max: 60000,
    description: 'silence after which peers take a part over',
  },
  {
    propertyName: 'state.follow.block.ms',
    field: 'watchTimeout',
    defaultValue: 2000,
    min: 100,
    max: 20000,
    description: 'how long one watch of the state service may block',
  },
  {
    propertyName: 'fleet.idle.return.ms',
    field: 'idleMachineTimeout',
    defaultValue: 20000,
    min: 1000,
    max: 3600000,
    description: 'idle time after which a rented machine is returned',
  },
  {
    propertyName: 'fleet.silent.return.ms',
    field: 'silentMachineTimeout',
    defaultValue: 75000,
    min: 5000,
    max: 3600000,
    description: 'silence after which a machine is given up',
  },
  {
    propertyName: 'random.seed',
    field: 'seed',
    defaultValue: 1,
    min: 0,
    max: 2147483647,
    description: 'seed of the shuffles among equals',
  },
];

export function parseTuning(text: string, file: string): Tuning {
  const given = parseProperties(text) as Record<string, unknown>;
  const tuning: Record<string, number> = {};
  for (const property of TUNING_PROPERTIES) tuning[property.field] = property.defaultValue;
  for (const [key, value] of Object.entries(given)) {
    const property = TUNING_PROPERTIES.find((property) => property.propertyName === key);
    if (!property)
      throw new SettingsError(
        `${file}: ${key}: expected one of ${TUNING_PROPERTIES.map((property) => property.propertyName).join(', ')}`,
      );
    const text = typeof value === 'string' ? value.trim() : '';
    const parsed = /^\d{1,10}$/.test(text) ? Number(text) : NaN;
    if (!(parsed >= property.min && parsed <= property.max)) {
      throw new SettingsError(
        `${file}: ${key}: expected a whole number from ${property.min} to ${property.max}, got "${text}"`,
      );
    }
    tuning[property.field] = parsed;
  }
  return tuning as unknown as Tuning;
}

export const loadTuning = (file: string | undefined): Tuning =>
  file === undefined ? parseTuning('', 'defaults') : parseTuning(readTextFile(file), file);

export type LogLevel = 'error' | 'info' | 'debug';

export function parseLogLevel(value: string | undefined): LogLevel {
  const level = value === undefined || value === '' ? 'info' : value;
  if (level === 'error' || level === 'info' || level === 'debug') return level;
  throw new SettingsError(`environment: LOG_LEVEL: expected error, info or debug, got "${level}"`);
}
