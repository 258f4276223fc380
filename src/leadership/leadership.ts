/** Who owns which part: being alive, claiming, taking over, giving up, raising the token. */
import type { Core } from '../core.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type {
  Incarnation,
  LeaseId,
  ControllerId,
  ShardId,
  Revision,
  SteadyMs,
  FencingToken,
} from '../model/units.js';
import { millis, shardId, plus, steady } from '../model/units.js';
import {
  decodeMachineRecord,
  decodeShardRecord,
  decodeFencingToken,
  encodeMembership,
  encodeShardRecord,
  encodeFencingToken,
  aliveKey,
  MACHINES_PREFIX,
  SHARDS_PREFIX,
  shardKey,
  TOKEN_KEY,
} from '../shards/codec.js';
import { newMachine, Shard, syncJob, type Machine } from '../shards/model.js';

/** What a decision on one part looks at. */
export interface FailoverFacts {
  readonly now: SteadyMs;
  readonly self: ControllerId;
  readonly incarnation: Incarnation;
  readonly homeController: ControllerId;
  /** undefined: nobody ever owned it. */
  readonly leader: ControllerId | null | undefined;
  readonly leaderIncarnation: Incarnation | null;
  readonly leaderAlive: boolean;
  readonly homeControllerAlive: boolean;
  /** This process has owned its home part before: it lost or released it. */
  readonly ledHomeShardBefore: boolean;
  /** Our view is current and our alive key stands since then. */
  readonly membershipStableSince: SteadyMs | null;
  /** Machines of the part that came to us lately because their owner does not answer them. */
  readonly redirectedHeartbeats: number;
  readonly releasedBySelf: boolean;
  /** Workers of the part answered when asked lately. */
  readonly workersReachable: boolean;
  /** How long the present situation has lasted. */
  readonly situationAgeMs: number;
}

export type FailoverDecision = 'claim' | 'probe' | 'wait';

const STABLE_MEMBERSHIP_MS = 3000;
const NEVER_LED_DELAY_MS = 6000;
const RESTART_GRACE_MS = 4000;
const HOME_CONTROLLER_HEAD_START_MS = 600;

/** The paper's replacement manager: a part whose owner is gone is claimed, and its home gets it back. */
export function decideFailover(facts: FailoverFacts): FailoverDecision {
  if (facts.leader === facts.self && facts.leaderIncarnation === facts.incarnation) return 'wait';
  if (facts.membershipStableSince === null) return 'wait';
  if (facts.homeController === facts.self) {
    if (!facts.ledHomeShardBefore || (facts.leader === null && !facts.releasedBySelf)) return 'claim';
    if (facts.now - facts.membershipStableSince < STABLE_MEMBERSHIP_MS) return 'wait';
    return facts.workersReachable ? 'claim' : 'probe';
  }
  if (facts.leader === undefined)
    return facts.homeControllerAlive || facts.situationAgeMs < NEVER_LED_DELAY_MS ? 'wait' : 'claim';
  if (facts.leader === null) {
    // Its home goes first: it would claim it back right after us.
    const mayTake =
      facts.redirectedHeartbeats > 0
        ? facts.situationAgeMs >= (facts.homeControllerAlive ? HOME_CONTROLLER_HEAD_START_MS : 0)
        : facts.situationAgeMs > STABLE_MEMBERSHIP_MS;
    return mayTake && !facts.releasedBySelf ? 'claim' : 'wait';
  }
  if (facts.leaderAlive) return 'wait';
  // The owner came back as a new process: it claims for itself, unless it does not get so far.
  if (facts.homeControllerAlive && facts.homeController === facts.leader)
    return facts.situationAgeMs > RESTART_GRACE_MS ? 'claim' : 'wait';
  return 'claim';
}

interface ObservedSituation {
  situation: string;
  observedSince: SteadyMs;
  delayMs: number;
}

export class ShardLeadership {
  private aliveLease: LeaseId | null = null;
  private leaseHeldSince: SteadyMs | null = null;
  /** Our alive key stands until then for certain. */
  private aliveKeyValidUntil = steady(-1e12);
  private aliveKeyWritten = false;
  private readonly situations = new Map<ShardId, ObservedSituation>();
  private readonly releasedShards = new Set<ShardId>();
  private readonly shardsInTransition = new Set<ShardId>();
  private ledHomeShardBefore = false;
  private workersAnsweredAt = steady(-1e12);
  /** Recent visits of machines whose owner is another controller, by part. */
  readonly redirectedHeartbeats = new Map<ShardId, Map<string, SteadyMs>>();

  constructor(
    private readonly core: Core,
    private readonly probeWorkers: (p: ShardId) => Promise<boolean>,
  ) {}

  async runKeepAlive(): Promise<never> {
    const ttl = this.core.tuning.membershipTtl;
    for (;;) {
      const requestedAt = this.core.clock.now();
      const renewed = await this.keepAlive();
      if (renewed) {
        this.leaseHeldSince ??= requestedAt;
        this.aliveKeyValidUntil = plus(requestedAt, ttl);
      } else if (!this.aliveLease) this.leaseHeldSince = null;
      await this.core.sleep(millis(renewed ? ttl / 3 : 300 + this.core.random(200)));
    }
  }

  private async keepAlive(): Promise<boolean> {
    const { store, tuning, settings, incarnation } = this.core;
    if (this.aliveLease === null) {
      this.aliveLease = await store.grantLease(tuning.membershipTtl);
      this.aliveKeyWritten = false;
      if (this.aliveLease === null) return false;
    } else {
      const renewed = await store.renewLease(this.aliveLease);
      if (renewed === 'gone') {
        this.aliveLease = null;
        this.leaseHeldSince = null;
        return false;
      }
      if (renewed === 'failed') return false;
    }
    if (this.aliveKeyWritten) return true;
    const change = {
      op: 'put',
      key: aliveKey(settings.node),
      value: encodeMembership(incarnation),
      lease: this.aliveLease,
    } as const;
    const result = await store.compareAndSwap([], [change], RequestPriority.leadership);
    this.aliveKeyWritten = result.kind === 'done';
    if (result.kind === 'refused') this.aliveLease = null;
    return this.aliveKeyWritten;
  }

  /** Looks at every part; called a few times a second. */
  tick(): void {
    const now = this.core.clock.now();
    if (!this.core.storeCache.loaded) return;
    for (const { shard, node } of this.core.settings.shards) {
      if (this.shardsInTransition.has(shard)) continue;
      const facts = this.failoverFacts(shard, node, now);
      const decision = decideFailover(facts);
      if (decision === 'wait') continue;
      this.shardsInTransition.add(shard);
      const transition = decision === 'claim' ? this.acquire(shard) : this.probeShard(shard);
      void transition.finally(() => this.shardsInTransition.delete(shard));
    }
    this.releaseUnreachableShards(now);
  }

  private failoverFacts(shard: ShardId, homeController: ControllerId, now: SteadyMs): FailoverFacts {
    const { core } = this;
    const entry = core.storeCache.get(shardKey(shard));
    const record = entry ? decodeShardRecord(entry.value) : null;
    const leader = entry ? (record?.leader ?? null) : undefined;
    const leaderIncarnation = record?.incarnation ?? null;
    const leaderAlive = typeof leader === 'string' && core.isAlive(leader, leaderIncarnation);
    const homeControllerAlive = core.isAlive(homeController, null);
    const cacheCurrent = now - core.storeCache.confirmedAt < core.tuning.watchTimeout + 1500;
    return {
      now,
      self: core.settings.node,
      incarnation: core.incarnation,
      homeController,
      leader,
      leaderIncarnation,
      leaderAlive,
      homeControllerAlive,
      ledHomeShardBefore: this.ledHomeShardBefore,
      // After a cut the view is current a moment before we know that our key is gone: what we claimed then would be
      // taken from us at once, as from one who is dead.
      membershipStableSince: cacheCurrent && now < this.aliveKeyValidUntil ? this.leaseHeldSince : null,
      redirectedHeartbeats: this.countRedirectedHeartbeats(shard, now),
      releasedBySelf: this.releasedShards.has(shard),
      workersReachable: now - this.workersAnsweredAt < 2000,
      situationAgeMs: this.situationAgeMs(
        shard,
        `${leader}/${leaderIncarnation}/${leaderAlive}/${homeControllerAlive}`,
        now,
        homeController,
      ),
    };
  }

  /** Time in the same situation, less a delay that differs between controllers: nearest zone first. */
  private situationAgeMs(
    shard: ShardId,
    situation: string,
    now: SteadyMs,
    homeController: ControllerId,
  ): number {
    let observed = this.situations.get(shard);
    if (!observed || observed.situation !== situation) {
      const inSameZone =
        this.core.settings.shards.find((p) => p.node === homeController)?.zone === this.core.settings.zone;
      observed = { situation, observedSince: now, delayMs: (inSameZone ? 0 : 250) + this.core.random(150) };
      this.situations.set(shard, observed);
    }
    return now - observed.observedSince - observed.delayMs;
  }

  private countRedirectedHeartbeats(shard: ShardId, now: SteadyMs): number {
    const receivedAtByMachine = this.redirectedHeartbeats.get(shard);
    if (!receivedAtByMachine) return 0;
    for (const [machineId, receivedAt] of receivedAtByMachine)
      if (now - receivedAt > 6000) receivedAtByMachine.delete(machineId);
    return receivedAtByMachine.size;
  }

  redirectedHeartbeatCounts(): Map<ShardId, number> {
    const now = this.core.clock.now();
    const counts = new Map<ShardId, number>();
    for (const shard of this.redirectedHeartbeats.keys()) {
      const count = this.countRedirectedHeartbeats(shard, now);
      if (count > 0) counts.set(shard, count);
    }
    return counts;
  }

  recordRedirectedHeartbeat(shard: ShardId, machine: string): void {
    const receivedAtByMachine = this.redirectedHeartbeats.get(shard) ?? new Map<string, SteadyMs>();
    receivedAtByMachine.set(machine, this.core.clock.now());
    this.redirectedHeartbeats.set(shard, receivedAtByMachine);
  }

  private async acquire(shard: ShardId): Promise<void> {
    const { core } = this;
    const observed = this.situations.get(shard);
    if (
      observed &&
      core.settings.shard !== shard &&
      core.clock.now() - observed.observedSince < observed.delayMs
    )
      return;
    const fencingToken = (decodeFencingToken(core.storeCache.get(TOKEN_KEY)?.value) + 1) as FencingToken;
    const value = encodeShardRecord({
      leader: core.settings.node,
      incarnation: core.incarnation,
      fencingToken,
    });
    const result = await core.compareAndSwapUntilCertain(
      [
        { key: TOKEN_KEY, version: core.storeCache.version(TOKEN_KEY) },
        { key: shardKey(shard), version: core.storeCache.version(shardKey(shard)) },
      ],
      [
        { op: 'put', key: TOKEN_KEY, value: encodeFencingToken(fencingToken) },
        { op: 'put', key: shardKey(shard), value },
      ],
      RequestPriority.leadership,
    );
    core.log.info({ part: shard, token: fencingToken, result: result.kind }, 'claim');
    if (result.kind !== 'done') await core.sleep(millis(100 + core.random(150)));
  }

  /** A higher token for a part we own: makes every unresolved direct order of ours void. */
  async raiseFencingToken(shard: Shard): Promise<void> {
    if (this.shardsInTransition.has(shard.id)) return;
    this.shardsInTransition.add(shard.id);
    try {
      await this.acquire(shard.id);
    } finally {
      this.shardsInTransition.delete(shard.id);
    }
  }

  private async probeShard(shard: ShardId): Promise<void> {
    if (await this.probeWorkers(shard)) this.workersAnsweredAt = this.core.clock.now();
    else await this.core.sleep(millis(2000));
  }

  /** Most of our machines are silent: whoever hears them should command them. */
  private releaseUnreachableShards(now: SteadyMs): void {
    // Without a current view we cannot release anything, and may not own anything any more.
    if (now - this.core.storeCache.confirmedAt > this.core.tuning.watchTimeout + 1500) return;
    for (const shard of this.core.shards.values()) {
      if (this.shardsInTransition.has(shard.id) || now - shard.acquiredAt < 8000) continue;
      const silenceLimitMs = Math.max(3.2 * this.core.heartbeatIntervalMs, 4500);
      const machines = [...shard.machines.values()].filter(
        (machine) => !machine.scalingIn && now - machine.addedAt > silenceLimitMs,
      );
      // What we refuse because it does not hear us does reach us: a new owner would have to wait for it all over again.
      const heardAt = (machine: Machine): number =>
        Math.max(machine.lastHeartbeatAt ?? -Infinity, machine.refusedUnreachableAt ?? -Infinity);
      const silent = machines.filter((machine) => now - heardAt(machine) > silenceLimitMs);
      if (machines.length < 2 || silent.length * 3 < machines.length * 2) continue;
      if (!this.peersReachMoreMachines(shard.id)) continue;
      this.shardsInTransition.add(shard.id);
      void this.release(shard, silent.length, machines.length).finally(() =>
        this.shardsInTransition.delete(shard.id),
      );
    }
  }

  /** Peers hear the part's machines, or we hear no peer: it is we who are cut off. */
  private peersReachMoreMachines(shard: ShardId): boolean {
    const { settings, peers } = this.core;
    if (settings.peers.length === 0) return false;
    const heard = settings.peers.filter((p) => this.core.heardWithin(p.node, millis(3000)));
    if (heard.length === 0) return true;
    return heard.some((p) => (peers.get(p.node)?.redirectedHeartbeats.get(shard) ?? 0) > 0);
  }

  private async release(shard: Shard, silent: number, machines: number): Promise<void> {
    const { core } = this;
    core.log.info({ part: shard.id, silent, machines }, 'releasing a part whose workers do not reach us');
    this.releasedShards.add(shard.id);
    const value = encodeShardRecord({ leader: null, incarnation: null, fencingToken: shard.fencingToken });
    const result = await core.compareAndSwapUntilCertain(
      [core.leaderCondition(shard)],
      [{ op: 'put', key: shardKey(shard.id), value }],
      RequestPriority.leadership,
    );
    if (result.kind !== 'done') this.releasedShards.delete(shard.id);
  }

  /** The view shows a change of a part: owned means the store says that it is ours. */
  onShardRecord(key: string, value: unknown, version: Revision): void {
    const { core } = this;
    const id = shardId(Number(key.slice(SHARDS_PREFIX.length)));
    const record = value === undefined ? null : decodeShardRecord(value);
    const ledBySelf = record !== null && record.incarnation === core.incarnation;
    const shard = core.shards.get(id);
    if (!ledBySelf) {
      if (shard) core.log.info({ part: id, owner: record?.leader ?? null }, 'part lost');
      core.shards.delete(id);
      if (record?.leader) this.releasedShards.delete(id);
      return;
    }
    if (id === core.settings.shard) this.ledHomeShardBefore = true;
    this.releasedShards.delete(id);
    if (shard) {
      shard.adoptFencingToken(record.fencingToken);
      for (const machine of shard.machines.values()) shard.machinesWithPendingCommands.add(machine);
      shard.version = version;
      return;
    }
    this.openShard(id, record.fencingToken, version);
  }

  private openShard(id: ShardId, fencingToken: FencingToken, version: Revision): void {
    const { core } = this;
    const now = core.clock.now();
    const shard = new Shard(id, fencingToken, version, now, core.types);
    for (const entry of core.storeCache.entriesUnder(MACHINES_PREFIX)) {
      const machineRecord = decodeMachineRecord(entry.value);
      if (!machineRecord || machineRecord.shard !== id) continue;
      const machineId = entry.key.slice(MACHINES_PREFIX.length) as never;
      const machine = newMachine({
        id: machineId,
        address: machineRecord.address,
        type: machineRecord.type,
        zone: machineRecord.zone,
        spot: machineRecord.spot,
        addedAt: now,
        reconciled: false,
      });
      shard.addMachine(machine);
      for (const [image, sizeGb] of core.imageHints.get(machine.id) ?? [])
        shard.recordImage(machine, image, sizeGb);
    }
    core.shards.set(id, shard);
    for (const record of core.activeJobs.values()) {
      const age = core.clusterClock.age(record.acceptedAt, now);
      syncJob(shard, record, core.storeCache.version(`c/live/${record.spec.id}` as never), now, true, age);
    }
    core.log.info(
      { part: id, token: fencingToken, machines: shard.machines.size, jobs: shard.jobs.size },
      'part owned',
    );
  }
}
