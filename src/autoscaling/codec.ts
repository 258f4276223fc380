/**
 * Maps the catalog of instance types to what the store keeps of it, for a start while the cloud is away. Versions of
 * the software read each other's records: the field names stay as they are here.
 */
import type { InstanceType } from '../cloud/wire.js';
import { RESOURCE_KINDS } from '../model/resources.js';

/** An instance type as the store keeps it. */
interface StoredType {
  readonly name: InstanceType['name'];
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly bootS: InstanceType['bootS'];
  readonly zones: InstanceType['zones'];
}

/** The value of `CATALOG_KEY`. */
export function encodeCatalog(types: readonly InstanceType[]): { readonly types: readonly StoredType[] } {
  return { types: types.map(encodeType) };
}

function encodeType(type: InstanceType): StoredType {
  return {
    name: type.name,
    cpus: type.cpus,
    gpus: type.gpus,
    memoryGb: type.memoryGb,
    cacheGb: type.cacheGb,
    fetchGbPerS: type.fetchGbPerS,
    price: type.price,
    spotPrice: type.spotPrice,
    bootS: type.bootS,
    zones: type.zones,
  };
}

/** null: the value cannot be read, or one of its types has no name or an amount is missing. */
export function decodeCatalog(value: unknown): InstanceType[] | null {
  const types = (value as { types?: StoredType[] } | null)?.types;
  return Array.isArray(types) && types.every(isComplete) ? types.map(decodeType) : null;
}

function isComplete(type: StoredType): boolean {
  return typeof type.name === 'string' && RESOURCE_KINDS.every((kind) => typeof type[kind] === 'number');
}

function decodeType(stored: StoredType): InstanceType {
  return {
    name: stored.name,
    cpus: stored.cpus,
    gpus: stored.gpus,
    memoryGb: stored.memoryGb,
    cacheGb: stored.cacheGb,
    fetchGbPerS: stored.fetchGbPerS,
    price: stored.price,
    spotPrice: stored.spotPrice,
    bootS: stored.bootS,
    zones: stored.zones,
  };
}
