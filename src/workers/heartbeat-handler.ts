/** Answers workers' reports: only the owner of a machine's pool, while it is entitled to, renews its lease. */
import type { Core } from '../core.js';
import type { HttpResponse } from '../http/server.js';
import type { Machine, Shard } from '../shards/model.js';
import type { ShardLeadership } from '../leadership/leadership.js';
import { decodeMachineRecord, machineKey } from '../shards/codec.js';
import type { ShardId, SteadyMs } from '../model/units.js';
import { millis, steady } from '../model/units.js';
import type { MachineRegistration } from './registration.js';
import { commandsInReply } from './commands.js';
import type { ShardUpdates } from './shard-updates.js';
import { reconcileHeartbeat } from './reconciliation.js';
import { encodeRedirect, encodeReply, parseHeartbeat, type Heartbeat } from './wire.js';

/** A worker waits 4 s for its answer. */
const MAX_ANSWER_DELAY_MS = 2500;
/** The token is not raised again sooner, however many workers have seen a higher one. */
const TOKEN_RAISE_INTERVAL_MS = 3000;
/** Workers are redirected only to an owner that we heard from within this time. */
const LEADER_LIVENESS_TIMEOUT = millis(2500);
const MAY_NOT_COMMAND: HttpResponse = { status: 503, body: { error: 'not entitled now' }, retryAfterS: 1 };

/** Answers reports with 200 and orders, 421 and the owner, or 503. */
export class HeartbeatHandler {
  private tokenRaisedAt = steady(-1e12);

  constructor(
    private readonly core: Core,
    private readonly leadership: ShardLeadership,
    private readonly registration: MachineRegistration,
    private readonly shardUpdates: ShardUpdates,
  ) {}

  /** Handles a report, given as the request's body. */
  async handle(body: Buffer): Promise<HttpResponse> {
    const heartbeat = parseHeartbeat(body);
    if (!heartbeat) return { status: 400, body: { error: 'not a report' } };
    if (!this.core.storeCache.loaded) return MAY_NOT_COMMAND;
    const receivedAt = this.core.clock.now();
    const shardId = await this.shardOf(heartbeat);
    // Named too late for this answer to reach the worker: its lease would run out under what we start there.
    if (shardId === null || this.core.clock.now() - receivedAt > MAX_ANSWER_DELAY_MS) return MAY_NOT_COMMAND;
    return this.core.exclusive(() => this.reply(heartbeat, shardId));
  }

  private async shardOf(heartbeat: Heartbeat): Promise<ShardId | null> {
    for (const shard of this.core.shards.values()) if (shard.machines.has(heartbeat.machine)) return shard.id;
    const entry = this.core.storeCache.get(machineKey(heartbeat.machine));
    const record = entry ? decodeMachineRecord(entry.value) : null;
    return record ? record.shard : this.registration.registerOnHeartbeat(heartbeat);
  }

  private reply(heartbeat: Heartbeat, shardId: ShardId): HttpResponse {
    const shard = this.core.shards.get(shardId);
    const machine = shard?.machines.get(heartbeat.machine);
    if (!shard || !machine) return this.redirect(heartbeat, shardId);
    const now = this.core.clock.now();
    // Its worker has seen a higher token: somebody else commands it. A 200 would be dropped, and would keep the
    // worker here while its lease runs out.
    if (heartbeat.fencingToken > shard.fencingToken) {
      this.onHigherToken(shard, now);
      return { status: 421, body: encodeRedirect(null) };
    }
    if (!this.core.mayCommand(now)) return MAY_NOT_COMMAND;
    if (this.isUnreachable(shard, machine, heartbeat, now)) {
      machine.refusedUnreachableAt = now;
      return MAY_NOT_COMMAND;
    }
    if (
      !reconcileHeartbeat(shard, machine, heartbeat, 'report', this.shardUpdates.reconciliationContext(now))
    )
      return MAY_NOT_COMMAND;
    const commands = commandsInReply(shard, machine);
    if (!machine.reconciled) {
      shard.machinesWithPendingCommands.add(machine);
      machine.answeredUnreconciledAt ??= now;
    }
    this.shardUpdates.onShardChanged(shard);
    return { status: 200, body: encodeReply(shard.fencingToken, commands) };
  }

  /**
   * It reports and never shows the token that our answers carry: they do not reach it. Each further answer might
   * renew its lease, and the part would wait for it for ever; refused, its lease ends for certain.
   */
  private isUnreachable(shard: Shard, machine: Machine, heartbeat: Heartbeat, now: SteadyMs): boolean {
    if (
      heartbeat.fencingToken >= shard.fencingToken ||
      machine.reconciled ||
      machine.answeredUnreconciledAt === null ||
      shard.reconciled
    )
      return false;
    return now - machine.answeredUnreconciledAt > 3 * this.core.heartbeatIntervalMs + 4000;
  }

  /** If the store still says that the part is ours, a new token goes above what the worker has seen. */
  private onHigherToken(shard: Shard, now: SteadyMs): void {
    if (now - this.tokenRaisedAt < TOKEN_RAISE_INTERVAL_MS) return;
    this.tokenRaisedAt = now;
    void this.leadership.raiseFencingToken(shard);
  }

  private redirect(heartbeat: Heartbeat, shardId: ShardId): HttpResponse {
    this.leadership.recordRedirectedHeartbeat(shardId, heartbeat.machine);
    const leader = this.core.shardRecord(shardId)?.leader ?? null;
    const reachable =
      leader !== null &&
      leader !== this.core.settings.node &&
      this.core.heardWithin(leader, LEADER_LIVENESS_TIMEOUT);
    return { status: 421, body: encodeRedirect(reachable ? leader : null) };
  }
}
