/** The platform's settings file (TOML) and the operators' own (`.properties`), read and checked once. */
import { readFileSync } from 'node:fs';
import { parse as parseToml } from 'smol-toml';
import { parse as parseProperties } from 'dot-properties';
import * as v from 'valibot';
import { RESOURCE_KINDS, UNLIMITED, ZERO, type Resources } from '../model/resources.js';
import type { Address, Millis, ControllerId, ShardId, Seconds, TeamId, ZoneId } from '../model/units.js';

/** A setting that ends the start: one line naming file, field and what was expected. */
export class SettingsError extends Error {}

const amount = v.pipe(
  v.number('a number'),
  v.finite('a finite number'),
  v.minValue(0, 'a number of at least 0'),
);
const positive = v.pipe(v.number('a number'), v.finite('a finite number'), v.gtValue(0, 'a number above 0'));
const count = v.pipe(
  v.number('a whole number'),
  v.integer('a whole number'),
  v.minValue(1, 'a whole number of at least 1'),
);
const name = v.pipe(v.string('a text'), v.nonEmpty('a text that is not empty'));
const address = v.pipe(
  v.string('an address like 10.0.0.1:8080'),
  v.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'an address like 10.0.0.1:8080'),
  v.check((a) => Number(a.slice(a.indexOf(':') + 1)) <= 65535, 'a port of at most 65535'),
);
const table = <T extends v.ObjectEntries>(entries: T) => v.object(entries, 'a table with all its fields');

const objective = v.object({
  kind: v.string(),
  class: v.optional(v.nullable(v.string())),
  times: v.optional(v.nullable(v.number())),
});

/** Settings of earlier deployments don't say how long a gang's tasks wait for each other. */
const DEFAULT_GANG_WAIT_S = 30;

const schema = table({
  label: name,
  domain: name,
  bind: address,
  mesh_addr: address,
  known: v.optional(
    v.array(table({ label: name, domain: name, peer_addr: address }), 'a list of tables'),
    [],
  ),
  services: table({ cloud: address, state: address }),
  facts: table({
    zones: v.array(name, 'a list of texts'),
    teams: v.array(
      table({
        name,
        cpus: v.optional(amount, 0),
        cpus_max: v.optional(amount, 0),
        gpus: v.optional(amount, 0),
        gpus_max: v.optional(amount, 0),
      }),
      'a list of tables',
    ),
    workers: table({
      report_s: positive,
      lease_s: positive,
      cancel_s: positive,
      gang_wait_s: v.optional(positive, DEFAULT_GANG_WAIT_S),
    }),
    state: table({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: count,
      // Limits that will hold from some moment on.
      next: v.optional(
        v.object({
          rps: v.optional(positive),
          write_rps: v.optional(positive),
          value_kb: v.optional(positive),
          txn_ops: v.optional(count),
        }),
        {},
      ),
    }),
    cloud: table({ rps: positive, list_lag_s: amount }),
    quota: table({ max_connections: count }),
    // Aims are a help for ranking, never a reason not to start.
    objectives: v.optional(v.fallback(v.array(objective), []), []),
  }),
});

export interface Peer {
  readonly node: ControllerId;
  readonly zone: ZoneId;
  readonly address: Address;
  readonly part: ShardId;
}

export interface Team {
  readonly name: TeamId;
  /** What the team need not wait for others for; a resource of 0 has no guarantee and is not counted. */
  readonly guarantee: Resources;
  /** What its tasks may use at most; infinite where the settings give no limit. */
  readonly limit: Resources;
}

export interface Settings {
  readonly node: ControllerId;
  readonly zone: ZoneId;
  readonly part: ShardId;
  readonly listen: Address;
  readonly meshListen: Address;
  /** The other controllers. */
  readonly peers: readonly Peer[];
  /** Every part with its home controller, in part order. */
  readonly parts: readonly { part: ShardId; node: ControllerId; zone: ZoneId }[];
  readonly cloud: Address;
  readonly state: Address;
  readonly zones: readonly ZoneId[];
  readonly teams: ReadonlyMap<TeamId, Team>;
  readonly reportS: Seconds;
  readonly leaseS: Seconds;
  readonly cancelS: Seconds;
  /** How long a gang's task waits for the others before it gives up. */
  readonly gangWaitS: Seconds;
  /** Requests and changes a second that the state service takes now, and from some moment on. */
  readonly stateRps: number;
  readonly stateWriteRps: number;
  readonly nextStateRps: number;
  readonly nextStateWriteRps: number;
  /** The smaller of what holds now and later: what is larger may be refused at any moment. */
  readonly valueBytes: number;
  readonly txnOps: number;
  readonly cloudRps: number;
  readonly listLagS: Seconds;
  readonly maxConnections: number;
  /** By class: up to which multiple of a deadline being done still counts for its users. */
  readonly latest: ReadonlyMap<string, number>;
}

type RawTeam = v.InferOutput<typeof schema>['facts']['teams'][number];

/** Places the controllers in name order: every one derives the same parts from its own file. */
function partsOf(raw: v.InferOutput<typeof schema>): Settings['parts'] {
  const all = [{ label: raw.label, domain: raw.domain }, ...raw.known];
  const sorted = [...all].sort((a, b) => (a.label < b.label ? -1 : 1));
  return sorted.map((n, i) => ({
    part: i as ShardId,
    node: n.label as ControllerId,
    zone: n.domain as ZoneId,
  }));
}

function fieldOf(issue: v.BaseIssue<unknown>): string {
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
function expectedAt(issue: v.BaseIssue<unknown>): string {
  let at: AnySchema | undefined = schema;
  for (const step of issue.path ?? []) {
    at = at?.wrapped ?? at;
    at = typeof step.key === 'number' ? at?.item : at?.entries?.[String(step.key)];
  }
  return typeof at?.message === 'string' ? at.message : issue.message;
}

/** A guarantee or limit of 0 is none. */
function teamOf(raw: RawTeam, file: string): Team {
  const guarantee = { ...ZERO, cpus: raw.cpus, gpus: raw.gpus };
  const limit = { ...UNLIMITED, cpus: raw.cpus_max || Infinity, gpus: raw.gpus_max || Infinity };
  const wrong = (expected: string): never => {
    throw new SettingsError(`${file}: facts.teams: expected team "${raw.name}" to have ${expected}`);
  };
  if (RESOURCE_KINDS.every((kind) => limit[kind] === Infinity))
    wrong('a limit: cpus_max or gpus_max above 0, got none');
  for (const kind of ['cpus', 'gpus'] as const) {
    if (guarantee[kind] > limit[kind])
      wrong(`${kind} of at most ${kind}_max (${limit[kind]}), got ${guarantee[kind]}`);
  }
  return { name: raw.name as TeamId, guarantee, limit };
}

function teamsOf(raw: v.InferOutput<typeof schema>, file: string): Map<TeamId, Team> {
  const teams = new Map<TeamId, Team>();
  raw.facts.teams.forEach((t, i) => {
    const id = t.name as TeamId;
    if (teams.has(id))
      throw new SettingsError(
        `${file}: facts.teams[${i}].name: expected a name used once, got "${t.name}" again`,
      );
    teams.set(id, teamOf(t, file));
  });
  return teams;
}

function latestOf(raw: v.InferOutput<typeof schema>): Map<string, number> {
  const out = new Map<string, number>();
  for (const o of raw.facts.objectives) {
    if (o.kind !== 'deadline' || !o.class) continue;
    out.set(o.class, Math.max(out.get(o.class) ?? 1, o.times ?? 1));
  }
  return out;
}

type StateLimits = Pick<
  Settings,
  'stateRps' | 'stateWriteRps' | 'nextStateRps' | 'nextStateWriteRps' | 'valueBytes' | 'txnOps'
>;

function stateLimitsOf(raw: v.InferOutput<typeof schema>['facts']['state']): StateLimits {
  const { next } = raw;
  const lower = (now: number, later: number | undefined): number => Math.min(now, later ?? now);
  return {
    stateRps: raw.rps,
    stateWriteRps: raw.write_rps,
    nextStateRps: lower(raw.rps, next.rps),
    nextStateWriteRps: lower(raw.write_rps, next.write_rps),
    valueBytes: Math.floor(lower(raw.value_kb, next.value_kb) * 1024),
    txnOps: lower(raw.txn_ops, next.txn_ops),
  };
}

function assemble(raw: v.InferOutput<typeof schema>, file: string): Settings {
  const parts = partsOf(raw);
  if (new Set(parts.map((p) => p.node)).size !== parts.length) {
    throw new SettingsError(`${file}: known: expected labels that differ from each other and from label`);
  }
  const partOf = (node: string): ShardId => (parts.find((p) => p.node === node) as { part: ShardId }).part;
  const w = raw.facts.workers;
  if (w.cancel_s <= w.lease_s) {
    throw new SettingsError(
      `${file}: facts.workers.cancel_s: expected more than lease_s (${w.lease_s}), got ${w.cancel_s}`,
    );
  }
  return {
    node: raw.label as ControllerId,
    zone: raw.domain as ZoneId,
    part: partOf(raw.label),
    listen: raw.bind as Address,
    meshListen: raw.mesh_addr as Address,
    peers: raw.known.map((k) => ({
      node: k.label as ControllerId,
      zone: k.domain as ZoneId,
      address: k.peer_addr as Address,
      part: partOf(k.label),
    })),
    parts,
    cloud: raw.services.cloud as Address,
    state: raw.services.state as Address,
    zones: raw.facts.zones as ZoneId[],
    teams: teamsOf(raw, file),
    reportS: w.report_s as Seconds,
    leaseS: w.lease_s as Seconds,
    cancelS: w.cancel_s as Seconds,
    gangWaitS: w.gang_wait_s as Seconds,
    ...stateLimitsOf(raw.facts.state),
    cloudRps: raw.facts.cloud.rps,
    listLagS: raw.facts.cloud.list_lag_s as Seconds,
    maxConnections: raw.facts.quota.max_connections,
    latest: latestOf(raw),
  };
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (e) {
    throw new SettingsError(
      `${file}: expected a readable file (${(e as NodeJS.ErrnoException).code ?? 'error'})`,
    );
  }
}

export function parseSettings(text: string, file: string): Settings {
  let data: unknown;
  try {
    data = parseToml(text);
  } catch (e) {
    throw new SettingsError(`${file}: expected valid TOML: ${(e as Error).message.split('\n')[0] ?? ''}`);
  }
  const result = v.safeParse(schema, data, { abortEarly: true });
  if (!result.success) {
    const issue = result.issues[0];
    const got = issue.received === 'undefined' ? 'nothing' : issue.received;
    const expected = issue.received === 'undefined' ? expectedAt(issue) : issue.message;
    throw new SettingsError(`${file}: ${fieldOf(issue) || '(top)'}: expected ${expected}, got ${got}`);
  }
  return assemble(result.output, file);
}

export const loadSettings = (file: string): Settings => parseSettings(readText(file), file);

/** The operators' own settings with their defaults; durations in milliseconds. */
export interface Tuning {
  readonly checkInterval: Millis;
  readonly announceExpiry: Millis;
  readonly aliveTtl: Millis;
  readonly followBlock: Millis;
  readonly idleReturn: Millis;
  readonly silentReturn: Millis;
  readonly seed: number;
}

interface TuningOption {
  readonly key: string;
  readonly field: keyof Tuning;
  readonly fallback: number;
  readonly min: number;
  readonly max: number;
  readonly about: string;
}

export const TUNING_OPTIONS: readonly TuningOption[] = [
  {
    key: 'flock.check.interval.ms',
    field: 'checkInterval',
    fallback: 1000,
    min: 100,
    max: 60000,
    about: 'announce free room and review quotas at least this often',
  },
  {
    key: 'flock.announce.expiry.ms',
    field: 'announceExpiry',
    fallback: 10000,
    min: 1000,
    max: 120000,
    about: 'age at which an announcement is worth nothing',
  },
  {
    key: 'parts.alive.ttl.ms',
    field: 'aliveTtl',
    fallback: 3000,
    min: 1000,
    max: 60000,
    about: 'silence after which peers take a part over',
  },
  {
    key: 'state.follow.block.ms',
    field: 'followBlock',
    fallback: 2000,
    min: 100,
    max: 20000,
    about: 'how long one watch of the state service may block',
  },
  {
    key: 'fleet.idle.return.ms',
    field: 'idleReturn',
    fallback: 20000,
    min: 1000,
    max: 3600000,
    about: 'idle time after which a rented machine is returned',
  },
  {
    key: 'fleet.silent.return.ms',
    field: 'silentReturn',
    fallback: 75000,
    min: 5000,
    max: 3600000,
    about: 'silence after which a machine is given up',
  },
  {
    key: 'random.seed',
    field: 'seed',
    fallback: 1,
    min: 0,
    max: 2147483647,
    about: 'seed of the shuffles among equals',
  },
];

export function parseTuning(text: string, file: string): Tuning {
  const given = parseProperties(text) as Record<string, unknown>;
  const tuning: Record<string, number> = {};
  for (const option of TUNING_OPTIONS) tuning[option.field] = option.fallback;
  for (const [key, value] of Object.entries(given)) {
    const option = TUNING_OPTIONS.find((k) => k.key === key);
    if (!option)
      throw new SettingsError(
        `${file}: ${key}: expected one of ${TUNING_OPTIONS.map((k) => k.key).join(', ')}`,
      );
    const text = typeof value === 'string' ? value.trim() : '';
    const n = /^\d{1,10}$/.test(text) ? Number(text) : NaN;
    if (!(n >= option.min && n <= option.max)) {
      throw new SettingsError(
        `${file}: ${key}: expected a whole number from ${option.min} to ${option.max}, got "${text}"`,
      );
    }
    tuning[option.field] = n;
  }
  return tuning as unknown as Tuning;
}

export const loadTuning = (file: string | undefined): Tuning =>
  file === undefined ? parseTuning('', 'defaults') : parseTuning(readText(file), file);

export type LogLevel = 'error' | 'info' | 'debug';

export function logLevelOf(value: string | undefined): LogLevel {
  const level = value === undefined || value === '' ? 'info' : value;
  if (level === 'error' || level === 'info' || level === 'debug') return level;
  throw new SettingsError(`environment: LOG_LEVEL: expected error, info or debug, got "${level}"`);
}
