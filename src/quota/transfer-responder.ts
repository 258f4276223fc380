/**
 * Answers requests for quota with unused quota of this controller's shards. A transfer is one compare-and-swap of the
 * record that holds all quotas of the team, so that no amount is given twice and the sum never grows. Relies on the
 * quota ledger, which subtracts the amount before the write is sent.
 */
import type { QuotaTransferRequest } from '../peers/messages.js';
import { RESOURCE_KINDS, ZERO, type Resources } from '../model/resources.js';
import type { Team } from '../settings/settings.js';
import type { Shard } from '../shards/model.js';
import { RequestPriority } from '../store/rate-limiter.js';
import { millis, type Revision, type StoreKey } from '../model/units.js';
import { encodeQuotas, quotaKey } from './codec.js';
import type { QuotaResponderContext } from './dependencies.js';
import { IdleRemainders } from './idle-remainders.js';
import type { QuotaDemand } from './quota-demand.js';
import type { QuotaLedger, VersionedQuotas } from './quota-ledger.js';
import { moveQuota } from './shard-quota.js';

/** Maximum number of reads of the record after a conflict, until it shows a newer version. */
const MAX_REREADS = 300;
const REREAD_INTERVAL = millis(100);

/** A planned transfer: the request and the state that the plan is based on. */
interface Transfer {
  readonly request: QuotaTransferRequest;
  /** The donor shard. */
  readonly shard: Shard;
  readonly team: Team;
  readonly current: VersionedQuotas;
  readonly amount: Resources;
}

/** Gives unused quota to other shards. */
export class QuotaTransferResponder {
  private readonly idleRemainders: IdleRemainders;

  constructor(
    private readonly context: QuotaResponderContext,
    private readonly ledger: QuotaLedger,
    private readonly demand: QuotaDemand,
  ) {
    this.idleRemainders = new IdleRemainders(demand);
  }

  /**
   * Transfers the unused part of the requested amount if this controller leads the donor shard; otherwise does nothing.
   */
  async handleRequest(request: QuotaTransferRequest): Promise<void> {
    const transfer = this.planTransfer(request);
    if (transfer) await this.execute(transfer);
  }

  /** Returns the transfer that answers the request, or null if nothing can be given. */
  private planTransfer(request: QuotaTransferRequest): Transfer | null {
    const shard = this.context.shards.get(request.donorShard);
    const team = this.context.settings.teams.get(request.team);
    const current = this.ledger.current(request.team);
    if (!shard || !team || !current) return null;
    if (this.ledger.hasPendingTransfer(request.donorShard, request.team)) return null;
    if (request.requestingShard === request.donorShard || !current.quotas[request.requestingShard])
      return null;
    const amount = this.transferAmount(shard, request);
    if (RESOURCE_KINDS.every((kind) => amount[kind] <= 0)) return null;
    return { request, shard, team, current, amount };
  }

  private transferAmount(shard: Shard, request: QuotaTransferRequest): Resources {
    if (request.purpose === 'remainder')
      return this.idleRemainders.transferable(shard, request, this.context.clock.now());
    return this.demand.transferable(shard, request.team, request, this.ownDemand(shard, request));
  }

  /**
   * Returns the quota that the shard keeps for its own tasks. Of two shards that reserve quota for the same team, the
   * one with the lower number has precedence.
   */
  private ownDemand(shard: Shard, request: QuotaTransferRequest): Resources {
    if (request.purpose !== 'reservation') return this.demand.demand(shard, request.team);
    const ownReservation =
      request.requestingShard < shard.id ? undefined : shard.quotaReservations.get(request.team);
    return ownReservation ?? ZERO;
  }

  /** Writes the transfer on the condition that the quotas are unchanged and this controller still leads the shard. */
  private async execute({ request, shard, team, current, amount }: Transfer): Promise<void> {
    const { context, ledger } = this;
    ledger.beginTransfer(request.donorShard, request.team, amount);
    const value = encodeQuotas(
      team,
      moveQuota(current.quotas, request.donorShard, request.requestingShard, amount),
    );
    const key = quotaKey(request.team);
    const result = await context.compareAndSwapUntilCertain(
      [{ key, version: current.version }, context.leaderCondition(shard)],
      [{ op: 'put', key, value }],
      RequestPriority.transfer,
    );
    await context.exclusive(() => {
      if (result.kind === 'done') context.storeCache.apply(key, value, result.revision);
    });
    // After a conflict, an earlier attempt of the write may have been applied. The amount stays subtracted until this
    // controller sees a newer record: otherwise tasks would be started here with quota that the other shard has.
    if (result.kind === 'conflict') await this.awaitNewerQuota(key, current.version, shard);
    ledger.endTransfer(request.donorShard, request.team);
    context.log.debug(
      {
        team: request.team,
        from: request.donorShard,
        to: request.requestingShard,
        amount,
        result: result.kind,
      },
      'quota transferred',
    );
    context.requestCycle();
  }

  /**
   * Waits until the cache has a newer record, the record proves unchanged, or this controller no longer leads the
   * shard.
   */
  private async awaitNewerQuota(key: StoreKey, version: Revision, shard: Shard): Promise<void> {
    const { context } = this;
    for (let reread = 0; reread < MAX_REREADS; reread += 1) {
      if (context.storeCache.version(key) !== version) return;
      if (context.shards.get(shard.id) !== shard) return;
      const read = await context.store.get(key, RequestPriority.transfer);
      if (read.kind === 'found')
        await context.exclusive(() => context.storeCache.apply(key, read.entry.value, read.entry.version));
      if (read.kind === 'absent' || (read.kind === 'found' && read.entry.version === version)) return;
      await context.sleep(REREAD_INTERVAL);
    }
  }
}
