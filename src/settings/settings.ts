/**
 * Reads the platform's settings file (TOML) at the start, checks constraints between its fields, and maps them to the
 * project's own names.
 */
import { parse as parseToml } from 'smol-toml';
import { RESOURCE_KINDS, UNLIMITED, ZERO, type Resources } from '../model/resources.js';
import type { Address, ControllerId, ShardId, Seconds, TeamId, ZoneId } from '../model/units.js';
import { checkSettingsFile, type SettingsFile } from './schema.js';
import { SettingsError, readTextFile } from './settings-error.js';

export { parseLogLevel, type LogLevel } from './log-level.js';
export { parseTuning, type Tuning } from './tuning.js';

const BYTES_PER_KB = 1024;

/** Another controller of the deployment. */
export interface Peer {
  readonly node: ControllerId;
  readonly zone: ZoneId;
  readonly address: Address;
  readonly shard: ShardId;
}

/** A team with its quota. */
export interface Team {
  readonly name: TeamId;
  /** Guaranteed quota, which the team can use without waiting for other teams; 0: no guarantee for that resource. */
  readonly guaranteed: Resources;
  /** Maximum that the tasks of the team may use; infinite where the settings set no limit. */
  readonly quota: Resources;
}

/** The validated settings of one controller. */
export interface Settings {
  readonly node: ControllerId;
  readonly zone: ZoneId;
  readonly shard: ShardId;
  readonly listenAddress: Address;
  readonly peerListenAddress: Address;
  /** The other controllers of the deployment. */
  readonly peers: readonly Peer[];
  /** Every shard with its home controller, in shard order. */
  readonly shards: readonly { shard: ShardId; node: ControllerId; zone: ZoneId }[];
  readonly cloudAddress: Address;
  readonly storeAddress: Address;
  readonly zones: readonly ZoneId[];
  readonly teams: ReadonlyMap<TeamId, Team>;
  readonly heartbeatIntervalS: Seconds;
  /** Duration of a worker's lease: without an answered heartbeat for this long, the worker ends its tasks. */
  readonly leaseS: Seconds;
  /** Time after the confirmation of a cancellation within which all tasks of the job must have ended. */
  readonly cancelS: Seconds;
  /** How long a task waits for the other tasks of its gang before it exits. */
  readonly gangWaitS: Seconds;
  /** Requests and writes per second that the state service allows now, and from some later time on (`next...`). */
  readonly storeRps: number;
  readonly storeWriteRps: number;
  readonly nextStoreRps: number;
  readonly nextStoreWriteRps: number;
  /** The lower of the current and the later limit, as the later limit may take effect at any time. */
  readonly maxValueBytes: number;
  readonly maxTransactionOps: number;
  readonly cloudRps: number;
  readonly listLagS: Seconds;
  readonly maxConnections: number;
  /** By job class: the multiple of its deadline up to which the completion of a job still has a value for its users. */
  readonly deadlineFactorByClass: ReadonlyMap<string, number>;
}

/** Assigns shards in the order of the controllers' names, so that all controllers derive the same assignment. */
function assignShards(raw: SettingsFile): Settings['shards'] {
  const controllers = [{ label: raw.label, domain: raw.domain }, ...raw.known];
  const sorted = [...controllers].sort((first, second) => (first.label < second.label ? -1 : 1));
  return sorted.map((controller, index) => ({
    shard: index as ShardId,
    node: controller.label as ControllerId,
    zone: controller.domain as ZoneId,
  }));
}

/** Parses a team. A guarantee or limit of 0 in the file means none. */
function parseTeam(raw: SettingsFile['facts']['teams'][number], file: string): Team {
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

function parseTeams(raw: SettingsFile, file: string): Map<TeamId, Team> {
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

function parseDeadlineFactors(raw: SettingsFile): Map<string, number> {
  const factors = new Map<string, number>();
  for (const objective of raw.facts.objectives) {
    if (objective.kind !== 'deadline' || !objective.class) continue;
    factors.set(objective.class, Math.max(factors.get(objective.class) ?? 1, objective.times ?? 1));
  }
  return factors;
}

type WorkerTimes = Pick<Settings, 'heartbeatIntervalS' | 'leaseS' | 'cancelS' | 'gangWaitS'>;

function parseWorkerTimes(raw: SettingsFile['facts']['workers'], file: string): WorkerTimes {
  if (raw.cancel_s <= raw.lease_s) {
    throw new SettingsError(
      `${file}: facts.workers.cancel_s: expected more than lease_s (${raw.lease_s}), got ${raw.cancel_s}`,
    );
  }
  return {
    heartbeatIntervalS: raw.report_s as Seconds,
    leaseS: raw.lease_s as Seconds,
    cancelS: raw.cancel_s as Seconds,
    gangWaitS: raw.gang_wait_s as Seconds,
  };
}

type StoreLimits = Pick<
  Settings,
  'storeRps' | 'storeWriteRps' | 'nextStoreRps' | 'nextStoreWriteRps' | 'maxValueBytes' | 'maxTransactionOps'
>;

function parseStoreLimits(raw: SettingsFile['facts']['state']): StoreLimits {
  const { next } = raw;
  const lowerLimit = (current: number, later: number | undefined): number =>
    Math.min(current, later ?? current);
  return {
    storeRps: raw.rps,
    storeWriteRps: raw.write_rps,
    nextStoreRps: lowerLimit(raw.rps, next.rps),
    nextStoreWriteRps: lowerLimit(raw.write_rps, next.write_rps),
    maxValueBytes: Math.floor(lowerLimit(raw.value_kb, next.value_kb) * BYTES_PER_KB),
    maxTransactionOps: lowerLimit(raw.txn_ops, next.txn_ops),
  };
}

function buildSettings(raw: SettingsFile, file: string): Settings {
  const shards = assignShards(raw);
  if (new Set(shards.map((controller) => controller.node)).size !== shards.length) {
    throw new SettingsError(`${file}: known: expected labels that differ from each other and from label`);
  }
  const findShard = (node: string): ShardId =>
    (shards.find((controller) => controller.node === node) as { shard: ShardId }).shard;
  const workerTimes = parseWorkerTimes(raw.facts.workers, file);
  return {
    node: raw.label as ControllerId,
    zone: raw.domain as ZoneId,
    shard: findShard(raw.label),
    listenAddress: raw.bind as Address,
    peerListenAddress: raw.mesh_addr as Address,
    peers: raw.known.map((peer) => ({
      node: peer.label as ControllerId,
      zone: peer.domain as ZoneId,
      address: peer.peer_addr as Address,
      shard: findShard(peer.label),
    })),
    shards,
    cloudAddress: raw.services.cloud as Address,
    storeAddress: raw.services.state as Address,
    zones: raw.facts.zones as ZoneId[],
    teams: parseTeams(raw, file),
    ...workerTimes,
    ...parseStoreLimits(raw.facts.state),
    cloudRps: raw.facts.cloud.rps,
    listLagS: raw.facts.cloud.list_lag_s as Seconds,
    maxConnections: raw.facts.quota.max_connections,
    deadlineFactorByClass: parseDeadlineFactors(raw),
  };
}

/** Parses and validates the text of a settings file (TOML); `file` is its name in errors. Throws SettingsError. */
export function parseSettings(text: string, file: string): Settings {
  let data: unknown;
  try {
    data = parseToml(text);
  } catch (error) {
    throw new SettingsError(`${file}: expected valid TOML: ${(error as Error).message.split('\n')[0] ?? ''}`);
  }
  return buildSettings(checkSettingsFile(data, file), file);
}

/** Reads and validates the settings file at a path. Throws SettingsError. */
export const loadSettings = (file: string): Settings => parseSettings(readTextFile(file), file);
