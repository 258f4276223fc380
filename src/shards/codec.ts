/** What the state service keeps about parts, machines and controllers that are alive. */
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

/** Everything that controllers follow is below this prefix. */
export const WATCHED_PREFIX = 'c/';
export const SHARDS_PREFIX = 'c/parts/';
export const MACHINES_PREFIX = 'c/machines/';
export const ALIVE_PREFIX = 'c/alive/';
export const TOKEN_KEY = storeKey('c/token');
export const TIME_KEY = storeKey('c/time');
export const CATALOG_KEY = storeKey('c/catalog');
export const shardKey = (shard: ShardId): StoreKey => storeKey(`${SHARDS_PREFIX}${shard}`);
export const machineKey = (machine: MachineId): StoreKey => storeKey(`${MACHINES_PREFIX}${machine}`);
export const aliveKey = (controller: ControllerId): StoreKey => storeKey(`${ALIVE_PREFIX}${controller}`);

export interface ShardRecord {
  /** null: released, anybody may claim it. */
  readonly leader: ControllerId | null;
  readonly incarnation: Incarnation | null;
  readonly fencingToken: FencingToken;
}

export interface MachineRecord {
  readonly shard: ShardId;
  readonly address: Address;
  readonly type: InstanceTypeId;
  readonly zone: ZoneId;
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

/** 0: there is none yet, or it cannot be read. */
export const decodeFencingToken = (value: unknown): FencingToken =>
  (parse(tokenSchema, value)?.token ?? 0) as FencingToken;
