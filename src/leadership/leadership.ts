/**
 * Shard leadership: acquires and releases shards, raises the fencing token, and opens a shard once the store shows that
 * this process leads it. Safety relies on the store: leader and fencing token are written together, in one
 * compare-and-swap on the revisions that the decision was based on. No two controllers can lead a shard under the same
 * fencing token, and a late copy of an earlier request fails its conditions.
 */
import type { Settings, Tuning } from '../settings/settings.js';
import { CounterSet } from '../logging/counter-set.js';
import { decodeShardRecord, shardKey, SHARDS_PREFIX, type ShardRecord } from '../shards/codec.js';
import type { Shard } from '../shards/model.js';
import type { StoreCache } from '../store/cache.js';
import type { ControllerId, FencingToken, Incarnation, Revision, ShardId, SteadyMs } from '../model/units.js';
import { millis, shardId } from '../model/units.js';
import { failoverReason, type AcquisitionReason } from './acquisition-reason.js';
import { decideFailover, type FailoverFacts } from './failover.js';
import {
  cacheState,
  LeadershipTransactions,
  type LeadershipTransactionContext,
} from './leadership-transactions.js';
import { Membership, type MembershipContext } from './membership.js';
import { ObservedSituations } from './observed-situations.js';
import { openShard, type OpenShardContext } from './open-shard.js';
import { RedirectedHeartbeats } from './redirected-heartbeats.js';
import {
  findUnreachableMachines,
  type MachineSilence,
  type ReachabilityContext,
} from './worker-reachability.js';

/** The part of the controller that shard leadership uses. */
export interface LeadershipContext
  extends LeadershipTransactionContext, MembershipContext, OpenShardContext, ReachabilityContext {
  readonly log: LeadershipTransactionContext['log'];
  readonly settings: Pick<Settings, 'node' | 'shard' | 'shards' | 'zone' | 'peers'>;
  readonly tuning: Pick<Tuning, 'membershipTtl' | 'watchTimeout'>;
  readonly storeCache: Pick<
    StoreCache,
    'loaded' | 'revision' | 'confirmedAt' | 'get' | 'version' | 'entriesUnder'
  >;
  /** Returns whether the controller's membership key exists, for the given incarnation unless that is null. */
  isAlive(node: ControllerId, incarnation: Incarnation | null): boolean;
}

/** The watch cache is current if it was confirmed within the watch timeout plus this time for the answer. */
const WATCH_ANSWER_ALLOWANCE_MS = 1500;
/** How long a probe that workers answered remains valid, and the delay after a probe without an answer. */
const PROBE_VALIDITY_MS = 2000;
const PROBE_RETRY_DELAY_MS = 2000;
/** Delay after a failed acquisition: the watch cache needs this time to show the controller that was faster. */
const ACQUIRE_RETRY_DELAY_MS = 100;
const ACQUIRE_RETRY_JITTER_MS = 150;
/** Minimum time from acquisition to release of a shard: its workers need this time to find the new leader. */
const MIN_LEADERSHIP_MS = 8000;

/** Leadership of this process over its home shard and over the shards of failed peers. */
export class ShardLeadership {
  private readonly membership: Membership;
  private readonly transactions: LeadershipTransactions;
  private readonly redirectedHeartbeats: RedirectedHeartbeats;
  private readonly situations: ObservedSituations;
  /** Shards that this process released and that have had no leader since. */
  private readonly releasedShards = new Set<ShardId>();
  /** Shards with a store request or a probe in progress; at most one at a time for each shard. */
  private readonly shardsInTransition = new Set<ShardId>();
  private readonly events = new CounterSet<'acquired' | 'lost' | 'released'>();
  private ledHomeShardBefore = false;
  private workersAnsweredAt: SteadyMs | null = null;

  constructor(
    private readonly context: LeadershipContext,
    /** Returns whether workers of the shard answer this controller. */
    private readonly probeWorkers: (shard: ShardId) => Promise<boolean>,
  ) {
    this.membership = new Membership(context);
    this.transactions = new LeadershipTransactions(context);
    this.redirectedHeartbeats = new RedirectedHeartbeats(context.clock);
    this.situations = new ObservedSituations(context);
  }

  /** Maintains the membership lease and key for as long as the process runs. */
  runKeepAlive(): Promise<never> {
    return this.membership.run();
  }

  /** Returns how many machines of each shard recently sent heartbeats here although another controller leads it. */
  redirectedHeartbeatCounts(): Map<ShardId, number> {
    return this.redirectedHeartbeats.counts();
  }

  /** Records a heartbeat from a machine of a shard that another controller leads. */
  recordRedirectedHeartbeat(shard: ShardId, machine: string): void {
    this.redirectedHeartbeats.record(shard, machine);
  }

  /** Checks the membership key, and decides for every shard whether to acquire or release it. */
  tick(): void {
    const now = this.context.clock.now();
    if (!this.context.storeCache.loaded) return;
    this.membership.checkKey();
    for (const { shard, node } of this.context.settings.shards) {
      if (this.shardsInTransition.has(shard)) continue;
      const facts = this.failoverFacts(shard, node, now);
      const decision = decideFailover(facts);
      if (decision === 'claim') void this.transition(shard, () => this.acquire(shard, failoverReason(facts)));
      if (decision === 'probe') void this.transition(shard, () => this.probeShard(shard));
    }
    this.releaseUnreachableShards(now);
  }

  /**
   * Acquires a higher fencing token for a shard that this process leads. Workers that have seen it refuse
   * commands with a lower one, so that unacknowledged launches can no longer start anything.
   */
  async raiseFencingToken(shard: Shard): Promise<void> {
    if (this.shardsInTransition.has(shard.id)) return;
    await this.transition(shard.id, () => this.acquire(shard.id, { reason: 'higher fencing token needed' }));
  }

  /** Applies a change of a shard's record: this process leads a shard only once the watch cache shows it. */
  onShardRecord(key: string, value: unknown, version: Revision): void {
    const { context } = this;
    const id = shardId(Number(key.slice(SHARDS_PREFIX.length)));
    const record = value === undefined ? null : decodeShardRecord(value);
    if (record?.incarnation !== context.incarnation) {
      this.closeShard(id, record, version);
      return;
    }
    if (id === context.settings.shard) this.ledHomeShardBefore = true;
    this.releasedShards.delete(id);
    const shard = context.shards.get(id);
    if (shard) adoptRecord(shard, record.fencingToken, version);
    else {
      openShard(context, id, record.fencingToken, version);
      this.events.increment('acquired');
    }
  }

  /** Returns how often this process has acquired, lost and released a shard. */
  eventCounts(): Readonly<Record<string, number>> {
    return this.events.snapshot();
  }

  /** Runs one store request or probe. Ticks do not wait for it: its effect becomes visible in the watch cache. */
  private transition(shard: ShardId, run: () => Promise<void>): Promise<void> {
    this.shardsInTransition.add(shard);
    return run().finally(() => this.shardsInTransition.delete(shard));
  }

  private failoverFacts(shard: ShardId, homeController: ControllerId, now: SteadyMs): FailoverFacts {
    const { context } = this;
    const entry = context.storeCache.get(shardKey(shard));
    const record = entry ? decodeShardRecord(entry.value) : null;
    const leader = entry ? (record?.leader ?? null) : undefined;
    const leaderIncarnation = record?.incarnation ?? null;
    const leaderAlive = typeof leader === 'string' && context.isAlive(leader, leaderIncarnation);
    const homeControllerAlive = context.isAlive(homeController, null);
    const situation = `${leader}/${leaderIncarnation}/${leaderAlive}/${homeControllerAlive}`;
    const cacheCurrent = this.cacheAgeMs(now) < this.cacheAgeLimitMs;
    return {
      now,
      self: context.settings.node,
      incarnation: context.incarnation,
      homeController,
      leader,
      leaderIncarnation,
      leaderAlive,
      homeControllerAlive,
      ledHomeShardBefore: this.ledHomeShardBefore,
      membershipStableSince: cacheCurrent ? this.membership.stableSince(now) : null,
      redirectedHeartbeats: this.redirectedHeartbeats.count(shard, now),
      releasedBySelf: this.releasedShards.has(shard),
      workersReachable: this.workersAnsweredAt !== null && now - this.workersAnsweredAt < PROBE_VALIDITY_MS,
      situationAgeMs: this.situations.observe(shard, situation, now, homeController),
    };
  }

  private cacheAgeMs(now: SteadyMs): number {
    return now - this.context.storeCache.confirmedAt;
  }

  private get cacheAgeLimitMs(): number {
    return this.context.tuning.watchTimeout + WATCH_ANSWER_ALLOWANCE_MS;
  }

  /** Makes one attempt to become the shard's leader, or to remain it, under the next fencing token. */
  private async acquire(shard: ShardId, reason: AcquisitionReason): Promise<void> {
    const { context } = this;
    if (context.settings.shard !== shard && this.situations.isDelayed(shard, context.clock.now())) return;
    if (!(await this.transactions.acquire(shard, reason)))
      await context.sleep(millis(ACQUIRE_RETRY_DELAY_MS + context.random(ACQUIRE_RETRY_JITTER_MS)));
  }

  private async probeShard(shard: ShardId): Promise<void> {
    if (await this.probeWorkers(shard)) this.workersAnsweredAt = this.context.clock.now();
    else await this.context.sleep(millis(PROBE_RETRY_DELAY_MS));
  }

  /** Releases the shards of which most machines do not reach this controller but may reach a peer. */
  private releaseUnreachableShards(now: SteadyMs): void {
    // With an outdated watch cache the release would fail its condition: the shard may already have another leader.
    if (this.cacheAgeMs(now) > this.cacheAgeLimitMs) return;
    for (const shard of this.context.shards.values()) {
      if (this.shardsInTransition.has(shard.id) || now - shard.acquiredAt < MIN_LEADERSHIP_MS) continue;
      const silence = findUnreachableMachines(this.context, shard, now);
      if (silence) void this.transition(shard.id, () => this.release(shard, silence));
    }
  }

  private async release(shard: Shard, { silent, expected }: MachineSilence): Promise<void> {
    const { context } = this;
    context.log.info(
      { shard: shard.id, silent, machines: expected },
      'releasing a shard whose workers do not reach this controller',
    );
    this.releasedShards.add(shard.id);
    if (!(await this.transactions.release(shard))) this.releasedShards.delete(shard.id);
  }

  /** Drops the shard if this process led it; called for a record that does not name this process as the leader. */
  private closeShard(id: ShardId, record: ShardRecord | null, version: Revision): void {
    const { shards, log } = this.context;
    const leader = record?.leader ?? null;
    const lostShard = shards.get(id);
    if (lostShard) {
      const loss = describeLoss(lostShard, record, version);
      log.info({ ...loss, ...cacheState(this.context) }, 'leadership lost');
      this.events.increment(leader ? 'lost' : 'released');
    }
    shards.delete(id);
    if (leader) this.releasedShards.delete(id);
  }
}

/** Returns the log fields of a lost shard: the leadership that ended and the one that replaced it. */
function describeLoss(lostShard: Shard, successor: ShardRecord | null, version: Revision): object {
  const { id: shard, fencingToken: ownToken, acquiredVersion } = lostShard;
  const { leader = null, fencingToken: successorToken = null } = successor ?? {};
  return { shard, leader, version, successorToken, fencingToken: ownToken, acquiredVersion };
}

/** Applies a changed record of a shard that this process leads. All machines must be sent the new fencing token. */
function adoptRecord(shard: Shard, acquiredToken: FencingToken, version: Revision): void {
  shard.tokens.adopt(acquiredToken);
  for (const machine of shard.machines.values()) shard.machinesWithPendingCommands.add(machine);
  shard.version = version;
}
