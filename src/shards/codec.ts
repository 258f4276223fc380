/**
 * Maps the records of shards, machines and live controllers to what the store keeps, and names the keys they stand under.
 * Versions of the software read each other's records during an upgrade: keys and field names stay as they are here,
 * whatever the code calls them. Fields that are not known here are ignored.
 */
import * as v from 'valibot';
import type {
  Address,
  Incarnation,
  MachineId,
  ControllerId,
  ShardId,
  StoreKey,
  FencingToken,
  InstanceTypeId,
  ZoneId,
} from '../model/units.js';
import { storeKey } from '../model/units.js';

/** Prefix of everything that controllers watch. */
export const WATCHED_PREFIX = 'c/';
/** Prefix of the records of shards. */
export const SHARDS_PREFIX = 'c/parts/';
/** Prefix of the records of registered machines. */
export const MACHINES_PREFIX = 'c/machines/';
/** Prefix of the keys that live controllers hold by a lease. */
export const ALIVE_PREFIX = 'c/alive/';
/** Holds the highest fencing token that any leader has: a single count for all shards. */
export const TOKEN_KEY = storeKey('c/token');
/** Holds the time that the controllers have counted together. */
export const TIME_KEY = storeKey('c/time');
/** Holds the instance types that the cloud was last known to offer. */
export const CATALOG_KEY = storeKey('c/catalog');
/** Where the record of a shard stands. */
export const shardKey = (shard: ShardId): StoreKey => storeKey(`${SHARDS_PREFIX}${shard}`);
/** Where the record of a machine stands while it is registered. */
export const machineKey = (machine: MachineId): StoreKey => storeKey(`${MACHINES_PREFIX}${machine}`);
/** Where a controller shows that it is alive: the key goes when its lease ends. */
export const aliveKey = (controller: ControllerId): StoreKey => storeKey(`${ALIVE_PREFIX}${controller}`);

/** Who leads a shard. Writing it, on condition of the version that was read, acquires the shard. */
export interface ShardRecord {
  /** null: released, any controller may acquire it. */
  readonly leader: ControllerId | null;
  /** The process that acquired the shard: another process of the same controller does not lead it. */
  readonly incarnation: Incarnation | null;
  /** Under which the shard was last acquired. */
  readonly fencingToken: FencingToken;
}

/** A registered machine. It is commanded only by the leader of the shard that the record names. */
export interface MachineRecord {
  readonly shard: ShardId;
  /** Where its worker was reached when it was registered. */
  readonly address: Address;
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  /** A spot instance. */
  readonly spot: boolean;
}

const shardSchema = v.object({
  owner: v.nullable(v.string()),
  incarnation: v.nullable(v.string()),
  token: v.number(),
});
const machineSchema = v.object({
  part: v.number(),
  address: v.string(),
  type: v.string(),
  zone: v.string(),
  spot: v.boolean(),
});
const aliveSchema = v.object({ incarnation: v.string() });
const tokenSchema = v.object({ token: v.number() });

/** null: the value has not the form that is expected. */
function parse<S extends v.GenericSchema>(schema: S, value: unknown): v.InferOutput<S> | null {
  const result = v.safeParse(schema, value);
  return result.success ? result.output : null;
}

/** The value of `shardKey`. */
export const encodeShardRecord = (record: ShardRecord): unknown => ({
  owner: record.leader,
  incarnation: record.incarnation,
  token: record.fencingToken,
});

/** null: the value cannot be read. */
export function decodeShardRecord(value: unknown): ShardRecord | null {
  const stored = parse(shardSchema, value);
  return (
    stored && {
      leader: stored.owner as ControllerId | null,
      incarnation: stored.incarnation as Incarnation | null,
      fencingToken: stored.token as FencingToken,
    }
  );
}

/** The value of `machineKey`. */
export const encodeMachineRecord = (record: MachineRecord): unknown => ({
  part: record.shard,
  address: record.address,
  type: record.type,
  zone: record.zone,
  spot: record.spot,
});

/** null: the value cannot be read. */
export function decodeMachineRecord(value: unknown): MachineRecord | null {
  const stored = parse(machineSchema, value);
  return (
    stored && {
      shard: stored.part as ShardId,
      address: stored.address as Address,
      type: stored.type as InstanceTypeId,
      zone: stored.zone as ZoneId,
      spot: stored.spot,
    }
  );
}

/** The value of `aliveKey`. */
export const encodeMembership = (incarnation: Incarnation): unknown => ({ incarnation });

/** The incarnation of a controller that is alive; null: the value cannot be read. */
export const decodeMembership = (value: unknown): Incarnation | null =>
  (parse(aliveSchema, value)?.incarnation as Incarnation | undefined) ?? null;

/** The value of `TOKEN_KEY`. */
export const encodeFencingToken = (token: FencingToken): unknown => ({ token });

/** A token has been written, and cannot be read: how high it is, is not known. */
export const isUnreadableToken = (value: unknown): boolean =>
  value !== undefined && parse(tokenSchema, value) === null;

/** 0: there is none yet, or it cannot be read: ask `isUnreadableToken` before a token is derived from it. */
export const decodeFencingToken = (value: unknown): FencingToken =>
  (parse(tokenSchema, value)?.token ?? 0) as FencingToken;
