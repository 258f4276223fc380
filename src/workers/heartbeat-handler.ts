/** Answers workers' reports: only the owner of a machine's pool, while it is entitled to, renews its lease. */
import type { Core } from '../core.js';
import type { Answer } from '../http/server.js';
import type { Machine, Shard } from '../shards/model.js';
import type { ShardLeadership } from '../leadership/leadership.js';
import { decodeMachineRecord, machineKey } from '../shards/codec.js';
import type { ShardId, SteadyMs } from '../model/units.js';
import { millis, steady } from '../model/units.js';
import type { MachineRegistration } from './registration.js';
import { ordersInAnswer } from './orders.js';
import type { PoolUpdates } from './pool-updates.js';
import { reconcileHeartbeat } from './reconciliation.js';
import { encodeRedirect, encodeReply, parseReport, type Heartbeat } from './wire.js';

/** A worker waits 4 s for its answer. */
const MAX_ANSWER_DELAY_MS = 2500;
/** The token is not raised again sooner, however many workers have seen a higher one. */
const RAISE_INTERVAL_MS = 3000;
/** Workers are redirected only to an owner that we heard from within this time. */
const OWNER_HEARD = millis(2500);
const NOT_ENTITLED: Answer = { status: 503, body: { error: 'not entitled now' }, retryAfterS: 1 };

/** Answers reports with 200 and orders, 421 and the owner, or 503. */
export class HeartbeatHandler {
  private raisedAt = steady(-1e12);

  constructor(
    private readonly core: Core,
    private readonly ownership: ShardLeadership,
    private readonly naming: MachineRegistration,
    private readonly updates: PoolUpdates,
  ) {}

  /** Handles a report, given as the request's body. */
  async handle(body: Buffer): Promise<Answer> {
    const report = parseReport(body);
    if (!report) return { status: 400, body: { error: 'not a report' } };
    if (!this.core.storeCache.loaded) return NOT_ENTITLED;
    const from = this.core.clock.now();
    const named = await this.partOf(report);
    // Named too late for this answer to reach the worker: its lease would run out under what we start there.
    if (named === null || this.core.clock.now() - from > MAX_ANSWER_DELAY_MS) return NOT_ENTITLED;
    return this.core.exclusive(() => this.answer(report, named));
  }

  private async partOf(report: Heartbeat): Promise<ShardId | null> {
    for (const shard of this.core.shards.values()) if (shard.machines.has(report.machine)) return shard.id;
    const entry = this.core.storeCache.get(machineKey(report.machine));
    const record = entry ? decodeMachineRecord(entry.value) : null;
    return record ? record.shard : this.naming.adopt(report);
  }

  private answer(report: Heartbeat, named: ShardId): Answer {
    const shard = this.core.shards.get(named);
    const machine = shard?.machines.get(report.machine);
    if (!shard || !machine) return this.redirect(report, named);
    const now = this.core.clock.now();
    // Its worker has seen a higher token: somebody else commands it. A 200 would be dropped, and would keep the
    // worker here while its lease runs out.
    if (report.token > shard.fencingToken) {
      this.outranked(shard, now);
      return { status: 421, body: encodeRedirect(null) };
    }
    if (!this.core.mayCommand(now)) return NOT_ENTITLED;
    if (this.isUnreachable(shard, machine, report, now)) {
      machine.refusedUnreachableAt = now;
      return NOT_ENTITLED;
    }
    if (!reconcileHeartbeat(shard, machine, report, 'report', this.updates.reportContext(now)))
      return NOT_ENTITLED;
    const orders = ordersInAnswer(shard, machine);
    if (!machine.reconciled) {
      shard.machinesWithPendingCommands.add(machine);
      machine.answeredUnreconciledAt ??= now;
    }
    this.updates.changed(shard);
    return { status: 200, body: encodeReply(shard.fencingToken, orders) };
  }

  /**
   * It reports and never shows the token that our answers carry: they do not reach it. Each further answer might
   * renew its lease, and the part would wait for it for ever; refused, its lease ends for certain.
   */
  private isUnreachable(shard: Shard, machine: Machine, report: Heartbeat, now: SteadyMs): boolean {
    if (
      report.token >= shard.fencingToken ||
      machine.reconciled ||
      machine.answeredUnreconciledAt === null ||
      shard.reconciled
    )
      return false;
    return now - machine.answeredUnreconciledAt > 3 * this.core.heartbeatIntervalMs + 4000;
  }

  /** If the store still says that the part is ours, a new token goes above what the worker has seen. */
  private outranked(shard: Shard, now: SteadyMs): void {
    if (now - this.raisedAt < RAISE_INTERVAL_MS) return;
    this.raisedAt = now;
    void this.ownership.raiseFencingToken(shard);
  }

  private redirect(report: Heartbeat, named: ShardId): Answer {
    this.ownership.recordRedirectedHeartbeat(named, report.machine);
    const owner = this.core.shardRecord(named)?.leader ?? null;
    const reachable =
      owner !== null && owner !== this.core.settings.node && this.core.heardWithin(owner, OWNER_HEARD);
    return { status: 421, body: encodeRedirect(reachable ? owner : null) };
  }
}
