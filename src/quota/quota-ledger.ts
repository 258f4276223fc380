/**
 * What each shard may use of a team's quota: the record in the store, as far as this controller has seen it, less what
 * this controller's shards are about to give away. An amount is subtracted before the write that gives it is sent:
 * otherwise tasks could be started with it here after the write was applied and the other shard had started its own.
 */
import { subtract, ZERO, type Resources } from '../model/resources.js';
import type { Revision, ShardId, TeamId } from '../model/units.js';
import { decodeQuotas, quotaKey } from './codec.js';
import type { QuotaRecords } from './dependencies.js';
import type { ShardQuotas } from './shard-quota.js';

/** A shard and a team, as the key of a map. */
export type ShardTeamKey = `${ShardId}/${TeamId}`;

/** The key of a shard's state about a team. */
export const shardTeamKey = (shard: ShardId, team: TeamId): ShardTeamKey => `${shard}/${team}`;

/** A team's quotas at one version of their record. */
export interface VersionedQuotas {
  readonly quotas: ShardQuotas;
  /** `NO_REVISION`: there is no record yet, and the quotas are even. */
  readonly version: Revision;
}

/** The quotas of all shards, and the transfers out of this controller's shards that are still open. */
export class QuotaLedger {
  /** By shard that gives and team, the amount in a write whose outcome is not seen yet. */
  private readonly pendingTransfers = new Map<ShardTeamKey, Resources>();
  /** Decoded once per version of the record. */
  private readonly decodedQuotas = new Map<TeamId, VersionedQuotas>();

  constructor(private readonly records: QuotaRecords) {}

  /** A team's quotas as this controller has last seen them; null: the settings do not name the team. */
  current(team: TeamId): VersionedQuotas | null {
    const { settings, storeCache } = this.records;
    const teamSettings = settings.teams.get(team);
    if (!teamSettings) return null;
    const key = quotaKey(team);
    const version = storeCache.version(key);
    const known = this.decodedQuotas.get(team);
    if (known?.version === version) return known;
    const quotas = decodeQuotas(storeCache.get(key)?.value, teamSettings, settings.shards.length);
    const decoded = { quotas, version };
    this.decodedQuotas.set(team, decoded);
    return decoded;
  }

  /** What a shard may use for a team: its quota less what it is giving away. */
  shardQuota(shard: ShardId, team: TeamId): Resources {
    const quota = this.current(team)?.quotas[shard] ?? ZERO;
    const pendingAmount = this.pendingTransfers.get(shardTeamKey(shard, team));
    return pendingAmount ? subtract(quota, pendingAmount) : quota;
  }

  /** Is a transfer of the team's quota out of the shard open? There is at most one at a time. */
  hasPendingTransfer(shard: ShardId, team: TeamId): boolean {
    return this.pendingTransfers.has(shardTeamKey(shard, team));
  }

  /** Subtracts an amount; to be called before the write that gives it is sent. */
  beginTransfer(shard: ShardId, team: TeamId, amount: Resources): void {
    this.pendingTransfers.set(shardTeamKey(shard, team), amount);
  }

  /** To be called once the record that this controller sees shows the outcome. */
  endTransfer(shard: ShardId, team: TeamId): void {
    this.pendingTransfers.delete(shardTeamKey(shard, team));
  }
}
