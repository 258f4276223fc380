/**
 * Leadership of shards: acquires and releases it, raises the fencing token, and opens a shard once the store says that
 * this process leads it. Relies on the store for safety: leadership and fencing token change together, in one
 * compare-and-swap on the revisions that the decision was based on, so that no two controllers lead a shard under the
 * same fencing token and a late copy of an earlier request fails its conditions.
 */
import type { Settings, Tuning } from '../settings/settings.js';
import { decodeShardRecord, shardKey, SHARDS_PREFIX, type ShardRecord } from '../shards/codec.js';
import type { Shard } from '../shards/model.js';
import type { StoreCache } from '../store/cache.js';
import type { ControllerId, FencingToken, Incarnation, Revision, ShardId, SteadyMs } from '../model/units.js';
import { millis, shardId } from '../model/units.js';
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

/** What the leadership uses of the controller. */
export interface LeadershipContext
  extends LeadershipTransactionContext, MembershipContext, OpenShardContext, ReachabilityContext {
  readonly log: LeadershipTransactionContext['log'];
  readonly settings: Pick<Settings, 'node' | 'shard' | 'shards' | 'zone' | 'peers'>;
  readonly tuning: Pick<Tuning, 'membershipTtl' | 'watchTimeout'>;
  readonly storeCache: Pick<
    StoreCache,
    'loaded' | 'revision' | 'confirmedAt' | 'get' | 'version' | 'entriesUnder'
  >;
  /** The controller's membership key exists, for the incarnation if one is given. */
  isAlive(node: ControllerId, incarnation: Incarnation | null): boolean;
}

/** How much longer than a watch may block the store cache may go unconfirmed and still count as current. */
const WATCH_ANSWER_ALLOWANCE_MS = 1500;
/** How long a probe that workers answered remains valid, and how long to wait after one that they did not. */
const PROBE_VALIDITY_MS = 2000;
const PROBE_RETRY_DELAY_MS = 2000;
/** After a failed attempt to acquire: long enough for the store cache to learn who was faster. */
const ACQUIRE_RETRY_DELAY_MS = 100;
const ACQUIRE_RETRY_JITTER_MS = 150;
/** How long a new leader keeps a shard whatever it hears: workers need this to find it. */
const MIN_LEADERSHIP_MS = 8000;

/** Leadership of this process over its home shard, and over those of failed peers. */
export class ShardLeadership {
  private readonly membership: Membership;
  private readonly transactions: LeadershipTransactions;
  private readonly redirectedHeartbeats: RedirectedHeartbeats;
  private readonly situations: ObservedSituations;
  /** Released by this process, and led by nobody since. */
  private readonly releasedShards = new Set<ShardId>();
  /** Shards for which a store request or a probe is under way: one at a time each. */
  private readonly shardsInTransition = new Set<ShardId>();
  private ledHomeShardBefore = false;
  private workersAnsweredAt: SteadyMs | null = null;

  constructor(
    private readonly context: LeadershipContext,
    /** Whether workers of the shard answer this controller. */
    private readonly probeWorkers: (shard: ShardId) => Promise<boolean>,
  ) {
    this.membership = new Membership(context);
    this.transactions = new LeadershipTransactions(context);
    this.redirectedHeartbeats = new RedirectedHeartbeats(context.clock);
    this.situations = new ObservedSituations(context);
  }

  /** Keeps the membership lease and key for as long as the process runs. */
  runKeepAlive(): Promise<never> {
    return this.membership.run();
  }

  /** Machines by shard that came here recently although another controller leads their shard. */
  redirectedHeartbeatCounts(): Map<ShardId, number> {
    return this.redirectedHeartbeats.counts();
  }

  /** A machine of a shard that another controller leads has sent a heartbeat here. */
  recordRedirectedHeartbeat(shard: ShardId, machine: string): void {
    this.redirectedHeartbeats.record(shard, machine);
  }

  /** Decides on every shard whether to acquire or release it; called a few times a second. */
  tick(): void {
    const now = this.context.clock.now();
    if (!this.context.storeCache.loaded) return;
    for (const { shard, node } of this.context.settings.shards) {
      if (this.shardsInTransition.has(shard)) continue;
      const decision = decideFailover(this.failoverFacts(shard, node, now));
      if (decision === 'claim') void this.transition(shard, () => this.acquire(shard));
      if (decision === 'probe') void this.transition(shard, () => this.probeShard(shard));
    }
    this.releaseUnreachableShards(now);
  }

  /**
   * Acquires a higher fencing token for a shard that this process leads. Workers that have seen it refuse every command
   * under the lower one, so that unacknowledged launches cannot start anything any more.
   */
  async raiseFencingToken(shard: Shard): Promise<void> {
    if (this.shardsInTransition.has(shard.id)) return;
    await this.transition(shard.id, () => this.acquire(shard.id));
  }

  /** Follows a shard's record in the store cache: this process leads a shard once the store says so, not before. */
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
    else openShard(context, id, record.fencingToken, version);
  }

  /** Runs one request or probe. The ticks do not wait for it: what it changes is seen in the store cache. */
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

  /** One attempt to become leader of the shard, or to lead it on, under the next fencing token. */
  private async acquire(shard: ShardId): Promise<void> {
    const { context } = this;
    if (context.settings.shard !== shard && this.situations.isDelayed(shard, context.clock.now())) return;
    if (!(await this.transactions.acquire(shard)))
      await context.sleep(millis(ACQUIRE_RETRY_DELAY_MS + context.random(ACQUIRE_RETRY_JITTER_MS)));
  }

  private async probeShard(shard: ShardId): Promise<void> {
    if (await this.probeWorkers(shard)) this.workersAnsweredAt = this.context.clock.now();
    else await this.context.sleep(millis(PROBE_RETRY_DELAY_MS));
  }

  /** Gives up shards whose machines this controller mostly does not hear, if somebody else may reach them. */
  private releaseUnreachableShards(now: SteadyMs): void {
    // A release on an old store cache would fail its condition, and the shard may have another leader by now.
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

  /** The store says that this process does not lead the shard, or does so no more. */
  private closeShard(id: ShardId, record: ShardRecord | null, version: Revision): void {
    const { shards, log } = this.context;
    const leader = record?.leader ?? null;
    const lost = shards.get(id);
    if (lost)
      log.info({ ...describeLoss(lost, record, version), ...cacheState(this.context) }, 'leadership lost');
    shards.delete(id);
    if (leader) this.releasedShards.delete(id);
  }
}

/** Under which leadership a shard was lost, and to which one, for the log. */
function describeLoss(lost: Shard, successor: ShardRecord | null, version: Revision): object {
  const { id: shard, fencingToken: ownToken, acquiredVersion } = lost;
  const { leader = null, fencingToken: successorToken = null } = successor ?? {};
  return { shard, leader, version, successorToken, fencingToken: ownToken, acquiredVersion };
}

/** The shard's record has changed while this process leads it; all machines are to be told a new fencing token. */
function adoptRecord(shard: Shard, acquiredToken: FencingToken, version: Revision): void {
  shard.adoptFencingToken(acquiredToken);
  for (const machine of shard.machines.values()) shard.machinesWithPendingCommands.add(machine);
  shard.version = version;
}
