/**
 * Encodes and decodes the stored records of shards, machines and live controllers, and defines their keys. During an
 * upgrade, versions of the software read each other's records: stored keys and field names must not change, whatever
 * the code calls them. Unknown fields are ignored.
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

/** Prefix of all keys that controllers watch. */
export const WATCHED_PREFIX = 'c/';
/** Prefix of the records of shards. */
export const SHARDS_PREFIX = 'c/parts/';
/** Prefix of the records of registered machines. */
export const MACHINES_PREFIX = 'c/machines/';
/** Prefix of the keys that live controllers hold by a lease. */
export const ALIVE_PREFIX = 'c/alive/';
/** Holds the highest fencing token issued so far, by one counter for all shards. */
export const TOKEN_KEY = storeKey('c/token');
/** Holds the cluster clock, which the controllers advance together. */
export const TIME_KEY = storeKey('c/time');
/** Holds the instance types that the cloud last offered. */
export const CATALOG_KEY = storeKey('c/catalog');
/** Key of a shard's record. */
export const shardKey = (shard: ShardId): StoreKey => storeKey(`${SHARDS_PREFIX}${shard}`);
/** Key of a machine's record, which exists while the machine is registered. */
export const machineKey = (machine: MachineId): StoreKey => storeKey(`${MACHINES_PREFIX}${machine}`);
/** Membership key of a live controller, which is deleted when its lease expires. */
export const aliveKey = (controller: ControllerId): StoreKey => storeKey(`${ALIVE_PREFIX}${controller}`);

/** The leader of a shard. Writing it, on condition of the version that was read, acquires the shard. */
export interface ShardRecord {
  /** null: the shard was released, and any controller may acquire it. */
  readonly leader: ControllerId | null;
  /** The process that acquired the shard; another process of the same controller does not lead it. */
  readonly incarnation: Incarnation | null;
  /** The token under which the shard was last acquired. */
  readonly fencingToken: FencingToken;
}

/** A registered machine. Only the leader of the shard that the record names sends it commands. */
export interface MachineRecord {
  readonly shard: ShardId;
  /** Address of its worker at registration. */
  readonly address: Address;
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
  /** A spot machine. */
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

/** Returns null if the value does not match the schema. */
function parse<S extends v.GenericSchema>(schema: S, value: unknown): v.InferOutput<S> | null {
  const result = v.safeParse(schema, value);
  return result.success ? result.output : null;
}

/** Encodes the value of `shardKey`. */
export const encodeShardRecord = (record: ShardRecord): unknown => ({
  owner: record.leader,
  incarnation: record.incarnation,
  token: record.fencingToken,
});

/** Returns null if the value cannot be decoded. */
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

/** Encodes the value of `machineKey`. */
export const encodeMachineRecord = (record: MachineRecord): unknown => ({
  part: record.shard,
  address: record.address,
  type: record.type,
  zone: record.zone,
  spot: record.spot,
});

/** Returns null if the value cannot be decoded. */
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

/** Encodes the value of `aliveKey`. */
export const encodeMembership = (incarnation: Incarnation): unknown => ({ incarnation });

/** Returns the incarnation of a live controller, or null if the value cannot be decoded. */
export const decodeMembership = (value: unknown): Incarnation | null =>
  (parse(aliveSchema, value)?.incarnation as Incarnation | undefined) ?? null;

/** Encodes the value of `TOKEN_KEY`. */
export const encodeFencingToken = (token: FencingToken): unknown => ({ token });

/** Whether a token is stored that cannot be decoded, so that its value is unknown. */
export const isUnreadableToken = (value: unknown): boolean =>
  value !== undefined && parse(tokenSchema, value) === null;

/** Returns 0 if there is no token or it cannot be decoded: check `isUnreadableToken` before deriving a new token. */
export const decodeFencingToken = (value: unknown): FencingToken =>
  (parse(tokenSchema, value)?.token ?? 0) as FencingToken;
