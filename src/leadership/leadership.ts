/** Who owns which part: being alive, claiming, taking over, giving up, raising the token. */
import type { Core } from '../core.js';
import { RequestPriority } from '../store/rate-limiter.js';
import type { Incarnation, LeaseId, NodeId, ShardId, Revision, SteadyMs, FencingToken } from '../units.js';
import { millis, shardId, plus, steady } from '../units.js';
import {
  decodeMachine,
  decodePart,
  decodeToken,
  encodeAlive,
  encodeShard,
  encodeToken,
  aliveKey,
  MACHINES,
  SHARDS,
  shardKey,
  TOKEN_KEY,
} from '../shards/records.js';
import { newMachine, Shard, syncJob, type Machine } from '../shards/model.js';

/** What a decision on one part looks at. */
export interface ClaimFacts {
  readonly now: SteadyMs;
  readonly me: NodeId;
  readonly incarnation: Incarnation;
  readonly home: NodeId;
  /** undefined: nobody ever owned it. */
  readonly owner: NodeId | null | undefined;
  readonly ownerIncarnation: Incarnation | null;
  readonly ownerAlive: boolean;
  readonly homeAlive: boolean;
  /** This process has owned its home part before: it lost or released it. */
  readonly ownedBefore: boolean;
  /** Our view is current and our alive key stands since then. */
  readonly steadySince: SteadyMs | null;
  /** Machines of the part that came to us lately because their owner does not answer them. */
  readonly strays: number;
  readonly releasedByMe: boolean;
  /** Workers of the part answered when asked lately. */
  readonly workersAnswer: boolean;
  /** How long the present situation has lasted. */
  readonly lasted: number;
}

export type ClaimDecision = 'claim' | 'probe' | 'wait';

const STEADY_FOR = 3000;
const NEVER_OWNED_WAIT = 6000;
const RESTART_WAIT = 4000;
const HOME_FIRST = 600;

/** The paper's replacement manager: a part whose owner is gone is claimed, and its home gets it back. */
export function decideFailover(f: ClaimFacts): ClaimDecision {
  if (f.owner === f.me && f.ownerIncarnation === f.incarnation) return 'wait';
  if (f.steadySince === null) return 'wait';
  if (f.home === f.me) {
    if (!f.ownedBefore || (f.owner === null && !f.releasedByMe)) return 'claim';
    if (f.now - f.steadySince < STEADY_FOR) return 'wait';
    return f.workersAnswer ? 'claim' : 'probe';
  }
  if (f.owner === undefined) return f.homeAlive || f.lasted < NEVER_OWNED_WAIT ? 'wait' : 'claim';
  if (f.owner === null) {
    // Its home goes first: it would claim it back right after us.
    const mayTake = f.strays > 0 ? f.lasted >= (f.homeAlive ? HOME_FIRST : 0) : f.lasted > STEADY_FOR;
    return mayTake && !f.releasedByMe ? 'claim' : 'wait';
  }
  if (f.ownerAlive) return 'wait';
  // The owner came back as a new process: it claims for itself, unless it does not get so far.
  if (f.homeAlive && f.home === f.owner) return f.lasted > RESTART_WAIT ? 'claim' : 'wait';
  return 'claim';
}

interface Watchful {
  situation: string;
  since: SteadyMs;
  delay: number;
}

export class ShardLeadership {
  private lease: LeaseId | null = null;
  private leaseOk: SteadyMs | null = null;
  /** Our alive key stands until then for certain. */
  private aliveUntil = steady(-1e12);
  private aliveWritten = false;
  private readonly watchful = new Map<ShardId, Watchful>();
  private readonly released = new Set<ShardId>();
  private readonly busy = new Set<ShardId>();
  private ownedBefore = false;
  private workersAnswerAt = steady(-1e12);
  /** Recent visits of machines whose owner is another controller, by part. */
  readonly redirectedHeartbeats = new Map<ShardId, Map<string, SteadyMs>>();

  constructor(
    private readonly core: Core,
    private readonly probe: (p: ShardId) => Promise<boolean>,
  ) {}

  async runAlive(): Promise<never> {
    const ttl = this.core.tuning.aliveTtl;
    for (;;) {
      const asked = this.core.clock.now();
      const ok = await this.keepAlive();
      if (ok) {
        this.leaseOk ??= asked;
        this.aliveUntil = plus(asked, ttl);
      } else if (!this.lease) this.leaseOk = null;
      await this.core.sleep(millis(ok ? ttl / 3 : 300 + this.core.random(200)));
    }
  }

  private async keepAlive(): Promise<boolean> {
    const { state, tuning, settings, incarnation } = this.core;
    if (this.lease === null) {
      this.lease = await state.grantLease(tuning.aliveTtl);
      this.aliveWritten = false;
      if (this.lease === null) return false;
    } else {
      const renewed = await state.renewLease(this.lease);
      if (renewed === 'gone') {
        this.lease = null;
        this.leaseOk = null;
        return false;
      }
      if (renewed === 'failed') return false;
    }
    if (this.aliveWritten) return true;
    const change = {
      op: 'put',
      key: aliveKey(settings.node),
      value: encodeAlive(incarnation),
      lease: this.lease,
    } as const;
    const result = await state.compareAndSwap([], [change], RequestPriority.ownership);
    this.aliveWritten = result.kind === 'done';
    if (result.kind === 'refused') this.lease = null;
    return this.aliveWritten;
  }

  /** Looks at every part; called a few times a second. */
  tick(): void {
    const now = this.core.clock.now();
    if (!this.core.view.loaded) return;
    for (const { part: shard, node } of this.core.settings.parts) {
      if (this.busy.has(shard)) continue;
      const facts = this.facts(shard, node, now);
      const decision = decideFailover(facts);
      if (decision === 'wait') continue;
      this.busy.add(shard);
      const work = decision === 'claim' ? this.claim(shard) : this.askWorkers(shard);
      void work.finally(() => this.busy.delete(shard));
    }
    this.releaseUnreachable(now);
  }

  private facts(shard: ShardId, home: NodeId, now: SteadyMs): ClaimFacts {
    const { core } = this;
    const entry = core.view.get(shardKey(shard));
    const record = entry ? decodePart(entry.value) : null;
    const owner = entry ? (record?.owner ?? null) : undefined;
    const ownerIncarnation = record?.incarnation ?? null;
    const ownerAlive = typeof owner === 'string' && core.isAlive(owner, ownerIncarnation);
    const homeAlive = core.isAlive(home, null);
    const current = now - core.view.confirmed < core.tuning.followBlock + 1500;
    return {
      now,
      me: core.settings.node,
      incarnation: core.incarnation,
      home,
      owner,
      ownerIncarnation,
      ownerAlive,
      homeAlive,
      ownedBefore: this.ownedBefore,
      // After a cut the view is current a moment before we know that our key is gone: what we claimed then would be
      // taken from us at once, as from one who is dead.
      steadySince: current && now < this.aliveUntil ? this.leaseOk : null,
      strays: this.strayCount(shard, now),
      releasedByMe: this.released.has(shard),
      workersAnswer: now - this.workersAnswerAt < 2000,
      lasted: this.lasted(shard, `${owner}/${ownerIncarnation}/${ownerAlive}/${homeAlive}`, now, home),
    };
  }

  /** Time in the same situation, less a delay that differs between controllers: nearest zone first. */
  private lasted(shard: ShardId, situation: string, now: SteadyMs, home: NodeId): number {
    let w = this.watchful.get(shard);
    if (!w || w.situation !== situation) {
      const near = this.core.settings.parts.find((p) => p.node === home)?.zone === this.core.settings.zone;
      w = { situation, since: now, delay: (near ? 0 : 250) + this.core.random(150) };
      this.watchful.set(shard, w);
    }
    return now - w.since - w.delay;
  }

  private strayCount(shard: ShardId, now: SteadyMs): number {
    const visits = this.redirectedHeartbeats.get(shard);
    if (!visits) return 0;
    for (const [m, at] of visits) if (now - at > 6000) visits.delete(m);
    return visits.size;
  }

  strayCounts(): Map<ShardId, number> {
    const now = this.core.clock.now();
    const out = new Map<ShardId, number>();
    for (const shard of this.redirectedHeartbeats.keys()) {
      const n = this.strayCount(shard, now);
      if (n > 0) out.set(shard, n);
    }
    return out;
  }

  noteStray(shard: ShardId, machine: string): void {
    const visits = this.redirectedHeartbeats.get(shard) ?? new Map<string, SteadyMs>();
    visits.set(machine, this.core.clock.now());
    this.redirectedHeartbeats.set(shard, visits);
  }

  private async claim(shard: ShardId): Promise<void> {
    const { core } = this;
    const w = this.watchful.get(shard);
    if (w && core.settings.part !== shard && core.clock.now() - w.since < w.delay) return;
    const token = (decodeToken(core.view.get(TOKEN_KEY)?.value) + 1) as FencingToken;
    const value = encodeShard({ owner: core.settings.node, incarnation: core.incarnation, token });
    const result = await core.settle(
      [
        { key: TOKEN_KEY, version: core.view.version(TOKEN_KEY) },
        { key: shardKey(shard), version: core.view.version(shardKey(shard)) },
      ],
      [
        { op: 'put', key: TOKEN_KEY, value: encodeToken(token) },
        { op: 'put', key: shardKey(shard), value },
      ],
      RequestPriority.ownership,
    );
    core.log.info({ part: shard, token, result: result.kind }, 'claim');
    if (result.kind !== 'done') await core.sleep(millis(100 + core.random(150)));
  }

  /** A higher token for a part we own: makes every unresolved direct order of ours void. */
  async raise(shard: Shard): Promise<void> {
    if (this.busy.has(shard.id)) return;
    this.busy.add(shard.id);
    try {
      await this.claim(shard.id);
    } finally {
      this.busy.delete(shard.id);
    }
  }

  private async askWorkers(shard: ShardId): Promise<void> {
    if (await this.probe(shard)) this.workersAnswerAt = this.core.clock.now();
    else await this.core.sleep(millis(2000));
  }

  /** Most of our machines are silent: whoever hears them should command them. */
  private releaseUnreachable(now: SteadyMs): void {
    // Without a current view we cannot release anything, and may not own anything any more.
    if (now - this.core.view.confirmed > this.core.tuning.followBlock + 1500) return;
    for (const shard of this.core.parts.values()) {
      if (this.busy.has(shard.id) || now - shard.claimedAt < 8000) continue;
      const limit = Math.max(3.2 * this.core.reportMs, 4500);
      const machines = [...shard.machines.values()].filter((m) => !m.returning && now - m.since > limit);
      // What we refuse because it does not hear us does reach us: a new owner would have to wait for it all over again.
      const heardAt = (m: Machine): number =>
        Math.max(m.lastReport ?? -Infinity, m.refusedUnreachable ?? -Infinity);
      const silent = machines.filter((m) => now - heardAt(m) > limit);
      if (machines.length < 2 || silent.length * 3 < machines.length * 2) continue;
      if (!this.othersDoBetter(shard.id)) continue;
      this.busy.add(shard.id);
      void this.release(shard, silent.length, machines.length).finally(() => this.busy.delete(shard.id));
    }
  }

  /** Peers hear the part's machines, or we hear no peer: it is we who are cut off. */
  private othersDoBetter(shard: ShardId): boolean {
    const { settings, peers } = this.core;
    if (settings.peers.length === 0) return false;
    const heard = settings.peers.filter((p) => this.core.heard(p.node, millis(3000)));
    if (heard.length === 0) return true;
    return heard.some((p) => (peers.get(p.node)?.strays.get(shard) ?? 0) > 0);
  }

  private async release(shard: Shard, silent: number, machines: number): Promise<void> {
    const { core } = this;
    core.log.info({ part: shard.id, silent, machines }, 'releasing a part whose workers do not reach us');
    this.released.add(shard.id);
    const value = encodeShard({ owner: null, incarnation: null, token: shard.token });
    const result = await core.settle(
      [core.ownerCondition(shard)],
      [{ op: 'put', key: shardKey(shard.id), value }],
      RequestPriority.ownership,
    );
    if (result.kind !== 'done') this.released.delete(shard.id);
  }

  /** The view shows a change of a part: owned means the store says that it is ours. */
  onPart(key: string, value: unknown, version: Revision): void {
    const { core } = this;
    const id = shardId(Number(key.slice(SHARDS.length)));
    const record = value === undefined ? null : decodePart(value);
    const mine = record !== null && record.incarnation === core.incarnation;
    const known = core.parts.get(id);
    if (!mine) {
      if (known) core.log.info({ part: id, owner: record?.owner ?? null }, 'part lost');
      core.parts.delete(id);
      if (record?.owner) this.released.delete(id);
      return;
    }
    if (id === core.settings.part) this.ownedBefore = true;
    this.released.delete(id);
    if (known) {
      known.raiseTo(record.token);
      for (const m of known.machines.values()) known.due.add(m);
      known.version = version;
      return;
    }
    this.open(id, record.token, version);
  }

  private open(id: ShardId, token: FencingToken, version: Revision): void {
    const { core } = this;
    const now = core.clock.now();
    const shard = new Shard(id, token, version, now, core.types);
    for (const entry of core.view.under(MACHINES)) {
      const m = decodeMachine(entry.value);
      if (!m || m.part !== id) continue;
      const name = entry.key.slice(MACHINES.length) as never;
      const machine = newMachine(name, m.address, m.type, m.zone, m.spot, now, false);
      shard.add(machine);
      for (const [image, gb] of core.imageHints.get(machine.id) ?? []) shard.sawImage(machine, image, gb);
    }
    core.parts.set(id, shard);
    for (const record of core.activeJobs.values()) {
      const age = core.time.age(record.accepted, now);
      syncJob(shard, record, core.view.version(`c/live/${record.spec.id}` as never), now, true, age);
    }
    core.log.info({ part: id, token, machines: shard.machines.size, jobs: shard.jobs.size }, 'part owned');
  }
}
