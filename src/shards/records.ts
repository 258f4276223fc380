/** What the state service keeps about parts, machines and controllers that are alive. */
import * as v from 'valibot';
import type {
  Address,
  Incarnation,
  MachineId,
  NodeId,
  ShardId,
  StateKey,
  FencingToken,
  TypeId,
  ZoneId,
} from '../units.js';
import { stateKey } from '../units.js';

/** Everything that controllers follow is below this prefix. */
export const FOLLOWED = 'c/';
export const SHARDS = 'c/parts/';
export const MACHINES = 'c/machines/';
export const ALIVE = 'c/alive/';
export const TOKEN_KEY = stateKey('c/token');
export const TIME_KEY = stateKey('c/time');
export const CATALOG_KEY = stateKey('c/catalog');
export const shardKey = (p: ShardId): StateKey => stateKey(`${SHARDS}${p}`);
export const machineKey = (m: MachineId): StateKey => stateKey(`${MACHINES}${m}`);
export const aliveKey = (n: NodeId): StateKey => stateKey(`${ALIVE}${n}`);

export interface ShardRecord {
  /** null: released, anybody may claim it. */
  readonly owner: NodeId | null;
  readonly incarnation: Incarnation | null;
  readonly token: FencingToken;
}

export interface MachineRecord {
  readonly part: ShardId;
  readonly address: Address;
  readonly type: TypeId;
  readonly zone: ZoneId;
  readonly spot: boolean;
}

const shard = v.object({
  owner: v.nullable(v.string()),
  incarnation: v.nullable(v.string()),
  token: v.number(),
});
const machine = v.object({
  part: v.number(),
  address: v.string(),
  type: v.string(),
  zone: v.string(),
  spot: v.boolean(),
});
const alive = v.object({ incarnation: v.string() });
const counter = v.object({ token: v.number() });

function decode<S extends v.GenericSchema>(schema: S, value: unknown): v.InferOutput<S> | null {
  const result = v.safeParse(schema, value);
  return result.success ? result.output : null;
}

/** The value of `shardKey`. */
export const encodeShard = (record: ShardRecord): unknown => ({
  owner: record.owner,
  incarnation: record.incarnation,
  token: record.token,
});

/** The value of `machineKey`. */
export const encodeMachine = (record: MachineRecord): unknown => ({
  part: record.part,
  address: record.address,
  type: record.type,
  zone: record.zone,
  spot: record.spot,
});

/** The value of `aliveKey`. */
export const encodeAlive = (incarnation: Incarnation): unknown => ({ incarnation });

/** The value of `TOKEN_KEY`. */
export const encodeToken = (token: FencingToken): unknown => ({ token });

/** null, as of the other records: the value cannot be read. */
export const decodePart = (value: unknown): ShardRecord | null => decode(shard, value) as ShardRecord | null;
export const decodeMachine = (value: unknown): MachineRecord | null =>
  decode(machine, value) as MachineRecord | null;
export const decodeAlive = (value: unknown): Incarnation | null =>
  (decode(alive, value)?.incarnation as Incarnation | undefined) ?? null;
/** 0: there is none yet, or it cannot be read. */
export const decodeToken = (value: unknown): FencingToken =>
  (decode(counter, value)?.token ?? 0) as FencingToken;
