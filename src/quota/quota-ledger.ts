/**
 * Tracks how much of a team's quota each shard may use: the record in the store, as far as this controller has seen it,
 * minus the amounts that this controller's shards are giving away. An amount is subtracted before the write that
 * transfers it is sent: otherwise tasks could be started with it here after the write was applied and the other shard
 * had used it.
 */
import { subtract, ZERO, type Resources } from '../model/resources.js';
import type { Revision, ShardId, TeamId } from '../model/units.js';
import { decodeQuotas, quotaKey } from './codec.js';
import type { QuotaRecords } from './dependencies.js';
import type { ShardQuotas } from './shard-quota.js';

/** Map key for a shard and a team. */
export type ShardTeamKey = `${ShardId}/${TeamId}`;

/** Returns the map key for a shard and a team. */
export const shardTeamKey = (shard: ShardId, team: TeamId): ShardTeamKey => `${shard}/${team}`;

/** A team's quotas at one version of their record. */
export interface VersionedQuotas {
  readonly quotas: ShardQuotas;
  /** `NO_REVISION` if there is no record yet and the quotas are even. */
  readonly version: Revision;
}

/** Holds the quotas of all shards and the pending transfers out of this controller's shards. */
export class QuotaLedger {
  /** By donor shard and team, the amount in a write whose outcome is not known yet. */
  private readonly pendingTransfers = new Map<ShardTeamKey, Resources>();
  /** Cache of decoded records: each version of a record is decoded once. */
  private readonly decodedQuotas = new Map<TeamId, VersionedQuotas>();

  constructor(private readonly records: QuotaRecords) {}

  /** Returns a team's quotas as last seen by this controller, or null if the team is not in the settings. */
  current(team: TeamId): VersionedQuotas | null {
    const { settings, storeCache } = this.records;
    const teamSettings = settings.teams.get(team);
    if (!teamSettings) return null;
    const key = quotaKey(team);
    const version = storeCache.version(key);
    const cached = this.decodedQuotas.get(team);
    if (cached?.version === version) return cached;
    const quotas = decodeQuotas(storeCache.get(key)?.value, teamSettings, settings.shards.length);
    const decoded = { quotas, version };
    this.decodedQuotas.set(team, decoded);
    return decoded;
  }

  /** Returns the quota that a shard may use for a team: its quota minus a pending transfer. */
  shardQuota(shard: ShardId, team: TeamId): Resources {
    const quota = this.current(team)?.quotas[shard] ?? ZERO;
    const pendingAmount = this.pendingTransfers.get(shardTeamKey(shard, team));
    return pendingAmount ? subtract(quota, pendingAmount) : quota;
  }

  /** Whether a transfer of the team's quota out of the shard is pending. There is at most one at a time. */
  hasPendingTransfer(shard: ShardId, team: TeamId): boolean {
    return this.pendingTransfers.has(shardTeamKey(shard, team));
  }

  /** Subtracts an amount. Must be called before the write that transfers it is sent. */
  beginTransfer(shard: ShardId, team: TeamId, amount: Resources): void {
    this.pendingTransfers.set(shardTeamKey(shard, team), amount);
  }

  /** Ends a pending transfer. Must be called only once this controller has seen its outcome in the record. */
  endTransfer(shard: ShardId, team: TeamId): void {
    this.pendingTransfers.delete(shardTeamKey(shard, team));
  }
}
