/**
 * Answers workers' heartbeats, and with that renews their leases: only as the leader of the machine's shard, and only
 * before the command deadline. Relies on `reconciliation.ts` for what a heartbeat changes.
 */
import type { HttpResponse } from '../http/server.js';
import { CounterSet } from '../logging/counter-set.js';
import type { Log } from '../logging/log.js';
import type { Settings } from '../settings/settings.js';
import type { Machine, Shard } from '../shards/model.js';
import { decodeMachineRecord, machineKey, type ShardRecord } from '../shards/codec.js';
import type { StoreCache } from '../store/cache.js';
import type { Clock, ControllerId, MachineId, Millis, ShardId, SteadyMs } from '../model/units.js';
import { elapsed, millis } from '../model/units.js';
import type { FencingTokenIssuer } from './lease-expiry.js';
import type { MachineRegistration } from './registration.js';
import { commandsInReply, logForgotten } from './commands.js';
import type { ShardUpdates } from './shard-updates.js';
import { reconcileHeartbeat } from './reconciliation.js';
import type { ResultRecords } from './release-rules.js';
import { encodeRedirect, encodeReply, parseHeartbeat, WorkerStatus, type Heartbeat } from './wire.js';

/** A worker waits 4 s for its answer. */
const MAX_ANSWER_DELAY_MS = 2500;
/** The fencing token is not raised again sooner, however many workers have seen a higher one. */
const TOKEN_RAISE_INTERVAL_MS = 3000;
/** Workers are redirected only to a leader that was heard within this time. */
const LEADER_LIVENESS_TIMEOUT = millis(2500);
/** Answers without an effect are taken not to arrive after so many heartbeat intervals, and this time on top. */
const UNANSWERED_INTERVALS = 3;
const UNANSWERED_MARGIN_MS = 4000;

const MAY_NOT_COMMAND: HttpResponse = {
  status: WorkerStatus.unavailable,
  body: { error: 'not entitled now' },
  retryAfterS: 1,
};
const MALFORMED: HttpResponse = { status: WorkerStatus.malformed, body: { error: 'not a report' } };

/** What the heartbeat handler uses of the controller. */
export interface HeartbeatHandlerDependencies extends ResultRecords {
  readonly clock: Clock;
  readonly log: Log;
  readonly settings: Pick<Settings, 'node'>;
  readonly shards: ReadonlyMap<ShardId, Shard>;
  readonly storeCache: Pick<StoreCache, 'loaded' | 'get'>;
  readonly heartbeatIntervalMs: number;
  mayCommand(now: SteadyMs): boolean;
  exclusive<T>(work: () => T): Promise<T>;
  shardRecord(shard: ShardId): ShardRecord | null;
  heardWithin(node: ControllerId, within: Millis): boolean;
}

/** What the heartbeat handler uses of the shard leadership. */
export interface HeartbeatLeadership extends FencingTokenIssuer {
  /** A machine of another controller's shard has sent its heartbeat here. */
  recordRedirectedHeartbeat(shard: ShardId, machine: MachineId): void;
}

/** Why a heartbeat was not answered with 200. */
type HeartbeatRefusal =
  | 'malformed'
  | 'store not loaded'
  | 'not registered in time'
  | 'past the command deadline'
  | 'higher fencing token'
  | 'answers do not arrive'
  | 'outdated'
  | 'not the leader';

/** Answers heartbeats with 200 and commands, with 421 and the leader, or with 503. */
export class HeartbeatHandler {
  private tokenRaisedAt: SteadyMs | null = null;
  /** Heartbeats that were not answered with 200, by the reason. */
  readonly refusals = new CounterSet<HeartbeatRefusal>();

  constructor(
    private readonly controller: HeartbeatHandlerDependencies,
    private readonly leadership: HeartbeatLeadership,
    private readonly registration: Pick<MachineRegistration, 'registerOnHeartbeat'>,
    private readonly shardUpdates: ShardUpdates,
  ) {}

  /** Handles a heartbeat, given as the request's body. */
  async handle(body: Buffer): Promise<HttpResponse> {
    const heartbeat = parseHeartbeat(body);
    if (!heartbeat) return this.refuse('malformed', MALFORMED);
    const { controller } = this;
    if (!controller.storeCache.loaded) return this.refuse('store not loaded');
    const receivedAt = controller.clock.now();
    const shardId = await this.findShard(heartbeat);
    // Prevents: registration takes so long that the worker has given up on this answer; tasks are started on the
    // strength of a lease that the answer does not renew.
    const isTooLate = elapsed(controller.clock.now(), receivedAt) > MAX_ANSWER_DELAY_MS;
    if (shardId === null || isTooLate) return this.refuse('not registered in time');
    return controller.exclusive(() => this.answer(heartbeat, shardId));
  }

  private refuse(reason: HeartbeatRefusal, response: HttpResponse = MAY_NOT_COMMAND): HttpResponse {
    this.refusals.increment(reason);
    return response;
  }

  private async findShard(heartbeat: Heartbeat): Promise<ShardId | null> {
    for (const shard of this.controller.shards.values())
      if (shard.machines.has(heartbeat.machine)) return shard.id;
    const entry = this.controller.storeCache.get(machineKey(heartbeat.machine));
    const record = entry ? decodeMachineRecord(entry.value) : null;
    return record ? record.shard : this.registration.registerOnHeartbeat(heartbeat);
  }

  /** Without waits, so that the command deadline holds for the answer. */
  private answer(heartbeat: Heartbeat, shardId: ShardId): HttpResponse {
    const shard = this.controller.shards.get(shardId);
    const machine = shard?.machines.get(heartbeat.machine);
    if (!shard || !machine) return this.redirect(heartbeat, shardId);
    const now = this.controller.clock.now();
    // Another controller commands this worker: it would drop a 200, and go on coming here until its lease expires.
    if (heartbeat.fencingToken > shard.fencingToken) {
      this.raiseFencingToken(shard, now);
      return this.refuse('higher fencing token', {
        status: WorkerStatus.notLeader,
        body: encodeRedirect(null),
      });
    }
    if (!this.controller.mayCommand(now)) return this.refuse('past the command deadline');
    if (this.missesAnswers(shard, machine, heartbeat, now)) {
      machine.refusedUnreachableAt = now;
      return this.refuse('answers do not arrive');
    }
    return this.renewLease(shard, machine, heartbeat, now);
  }

  private renewLease(shard: Shard, machine: Machine, heartbeat: Heartbeat, now: SteadyMs): HttpResponse {
    const context = this.shardUpdates.reconciliationContext(now);
    if (!reconcileHeartbeat(shard, machine, heartbeat, 'heartbeat', context)) return this.refuse('outdated');
    const commands = commandsInReply(machine, this.controller);
    logForgotten(this.controller.log, shard, machine, commands);
    if (!machine.reconciled) {
      shard.machinesWithPendingCommands.add(machine);
      machine.answeredUnreconciledAt ??= now;
    }
    this.shardUpdates.onShardChanged(shard);
    return { status: WorkerStatus.ok, body: encodeReply(shard.fencingToken, commands) };
  }

  /**
   * Whether the worker's heartbeats arrive and the answers to them do not: it never shows the fencing token that these
   * carry.
   *
   * Prevents: after a failover each further answer may renew the worker's lease, so that it never certainly expires, and
   * the shard is never reconciled. Refused, the lease ends.
   */
  private missesAnswers(shard: Shard, machine: Machine, heartbeat: Heartbeat, now: SteadyMs): boolean {
    if (
      heartbeat.fencingToken >= shard.fencingToken ||
      machine.reconciled ||
      machine.answeredUnreconciledAt === null ||
      shard.reconciled
    )
      return false;
    const limitMs = UNANSWERED_INTERVALS * this.controller.heartbeatIntervalMs + UNANSWERED_MARGIN_MS;
    return elapsed(now, machine.answeredUnreconciledAt) > limitMs;
  }

  /**
   * If the store still shows this controller as the leader, a new fencing token goes above what the worker has seen.
   * Not awaited: the worker is sent on at once, and comes back.
   */
  private raiseFencingToken(shard: Shard, now: SteadyMs): void {
    if (this.tokenRaisedAt !== null && elapsed(now, this.tokenRaisedAt) < TOKEN_RAISE_INTERVAL_MS) return;
    this.tokenRaisedAt = now;
    void this.leadership.raiseFencingToken(shard);
  }

  private redirect(heartbeat: Heartbeat, shardId: ShardId): HttpResponse {
    this.leadership.recordRedirectedHeartbeat(shardId, heartbeat.machine);
    const leader = this.controller.shardRecord(shardId)?.leader ?? null;
    const isReachable =
      leader !== null &&
      leader !== this.controller.settings.node &&
      this.controller.heardWithin(leader, LEADER_LIVENESS_TIMEOUT);
    return this.refuse('not the leader', {
      status: WorkerStatus.notLeader,
      body: encodeRedirect(isReachable ? leader : null),
    });
  }
}
