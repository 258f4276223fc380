/**
 * Answers workers' heartbeats. A 200 answer renews the worker's lease, so it is sent only while this controller leads
 * the machine's shard and its command deadline has not passed. `reconciliation.ts` applies the heartbeat to the shard.
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
import { commandsInReply } from './commands.js';
import type { ShardUpdates } from './shard-updates.js';
import { reconcileHeartbeat } from './reconciliation.js';
import type { ResultRecords } from './release-rules.js';
import { encodeRedirect, encodeReply, parseHeartbeat, WorkerStatus, type Heartbeat } from './wire.js';

/** Heartbeats are not answered with 200 after this delay; the worker itself times out after 4 s. */
const MAX_ANSWER_DELAY_MS = 2500;
/** Minimum interval between two raises of the fencing token, however many workers have seen a higher one. */
const TOKEN_RAISE_INTERVAL_MS = 3000;
/** Workers are redirected only to a leader whose last announcement arrived within this time. */
const LEADER_LIVENESS_TIMEOUT_MS = millis(2500);
/**
 * A worker is assumed not to receive the answers to its heartbeats if it still reports an old fencing token this many
 * heartbeat intervals, plus `UNANSWERED_MARGIN_MS`, after the first answer.
 */
const UNANSWERED_INTERVALS = 3;
const UNANSWERED_MARGIN_MS = 4000;

const MAY_NOT_COMMAND: HttpResponse = {
  status: WorkerStatus.unavailable,
  body: { error: 'not entitled now' },
  retryAfterS: 1,
};
const MALFORMED: HttpResponse = { status: WorkerStatus.malformed, body: { error: 'not a report' } };

/** The parts of the controller that the heartbeat handler uses. */
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
  hasAnnouncedWithin(node: ControllerId, within: Millis): boolean;
}

/** The parts of the shard leadership that the heartbeat handler uses. */
export interface HeartbeatLeadership extends FencingTokenIssuer {
  /** Records that a machine of a shard led by another controller sent its heartbeat to this one. */
  recordRedirectedHeartbeat(shard: ShardId, machine: MachineId): void;
}

/** The reason why a heartbeat was not answered with 200. */
type HeartbeatRefusal =
  | 'malformed'
  | 'store not loaded'
  | 'not registered in time'
  | 'past the command deadline'
  | 'higher fencing token'
  | 'answers do not arrive'
  | 'outdated'
  | 'not the leader';

/** Answers heartbeats with 200 and commands, 421 and the leader, 503, or 400 if the body is malformed. */
export class HeartbeatHandler {
  private tokenRaisedAt: SteadyMs | null = null;
  /** Counts the heartbeats that were not answered with 200, by reason. */
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
    // Prevents: registration takes so long that the worker has stopped waiting for this answer, and tasks are started
    // on the assumption that the answer renewed the lease.
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

  /** Synchronous, so that the command deadline cannot pass between its check and the answer. */
  private answer(heartbeat: Heartbeat, shardId: ShardId): HttpResponse {
    const shard = this.controller.shards.get(shardId);
    const machine = shard?.machines.get(heartbeat.machine);
    if (!shard || !machine) return this.redirect(heartbeat, shardId);
    const now = this.controller.clock.now();
    // The worker has accepted commands from another controller. It would discard a 200 with a lower fencing token, and
    // keep sending heartbeats here until its lease expires.
    if (heartbeat.fencingToken > shard.tokens.tokenOf(machine)) {
      this.raiseFencingToken(shard, machine, heartbeat, now);
      return this.refuse('higher fencing token', {
        status: WorkerStatus.notLeader,
        body: encodeRedirect(null),
      });
    }
    if (!this.controller.mayCommand(now)) return this.refuse('past the command deadline');
    if (this.missesAnswers(shard, machine, heartbeat, now)) {
      machine.heartbeatRefusedAt = now;
      return this.refuse('answers do not arrive');
    }
    return this.renewLease(shard, machine, heartbeat, now);
  }

  private renewLease(shard: Shard, machine: Machine, heartbeat: Heartbeat, now: SteadyMs): HttpResponse {
    const context = this.shardUpdates.reconciliationContext(now);
    if (!reconcileHeartbeat(shard, machine, heartbeat, 'heartbeat', context))
      return this.refuseOutdated(machine, heartbeat);
    const commands = commandsInReply(shard, machine, this.controller);
    this.shardUpdates.sentCommands.record(shard, machine, commands);
    if (!machine.reconciled) {
      shard.machinesWithPendingCommands.add(machine);
      machine.answeredUnreconciledAt ??= now;
    }
    this.shardUpdates.onShardChanged(shard);
    return { status: WorkerStatus.ok, body: encodeReply(shard.tokens.tokenOf(machine), commands) };
  }

  private refuseOutdated(machine: Machine, { agentEpoch, sequence }: Heartbeat): HttpResponse {
    if (agentEpoch < machine.agentEpoch)
      this.controller.log.info(
        { machine: machine.id, agentEpoch, sequence, newestAgentEpoch: machine.agentEpoch },
        'heartbeat of an earlier agent epoch refused',
      );
    return this.refuse('outdated');
  }

  /**
   * Returns whether the worker's heartbeats arrive but the answers to them do not: the worker never reports the fencing
   * token that the answers carry.
   *
   * Prevents: after a failover each further answer may renew the worker's lease, so that the lease can never be
   * considered expired and the shard is never reconciled. If its heartbeats are refused instead, the lease expires.
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
   * Requests a new fencing token above the one that the worker has seen; this succeeds if the store still shows this
   * controller as the leader. Not awaited: the worker is redirected at once, and retries here later.
   */
  private raiseFencingToken(shard: Shard, machine: Machine, heartbeat: Heartbeat, now: SteadyMs): void {
    if (this.tokenRaisedAt !== null && elapsed(now, this.tokenRaisedAt) < TOKEN_RAISE_INTERVAL_MS) return;
    this.tokenRaisedAt = now;
    const { fencingToken: reportedToken, agentEpoch } = heartbeat;
    const fencingToken = shard.tokens.tokenOf(machine);
    this.controller.log.info(
      { shard: shard.id, machine: machine.id, reportedToken, fencingToken, agentEpoch },
      'worker has seen a higher fencing token',
    );
    void this.leadership.raiseFencingToken(shard);
  }

  private redirect(heartbeat: Heartbeat, shardId: ShardId): HttpResponse {
    this.leadership.recordRedirectedHeartbeat(shardId, heartbeat.machine);
    const leader = this.controller.shardRecord(shardId)?.leader ?? null;
    const isReachable =
      leader !== null &&
      leader !== this.controller.settings.node &&
      this.controller.hasAnnouncedWithin(leader, LEADER_LIVENESS_TIMEOUT_MS);
    return this.refuse('not the leader', {
      status: WorkerStatus.notLeader,
      body: encodeRedirect(isReachable ? leader : null),
    });
  }
}
