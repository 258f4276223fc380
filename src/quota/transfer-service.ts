/**
 * Moves unused quota to the shards where the team's tasks wait. This is the interface for the scheduler and the
 * controller: the ledger holds the quota that a shard may use, `QuotaDemand` computes what it needs and can give, and
 * the requester and the responder are the two sides of a transfer.
 */
import type { QuotaTransferRequest } from '../peers/messages.js';
import type { Resources } from '../model/resources.js';
import type { Shard } from '../shards/model.js';
import type { ShardId, TeamId } from '../model/units.js';
import type { QuotaTransferContext } from './dependencies.js';
import { QuotaDemand } from './quota-demand.js';
import { QuotaLedger } from './quota-ledger.js';
import { QuotaTransferRequester } from './transfer-requester.js';
import { QuotaTransferResponder } from './transfer-responder.js';

/** Manages the quotas of the shards that this controller leads, and quota transfers from and to other shards. */
export class QuotaTransferService {
  private readonly ledger: QuotaLedger;
  private readonly demand: QuotaDemand;
  private readonly requester: QuotaTransferRequester;
  private readonly responder: QuotaTransferResponder;

  constructor(context: QuotaTransferContext) {
    this.ledger = new QuotaLedger(context);
    this.demand = new QuotaDemand(context, this.ledger);
    this.responder = new QuotaTransferResponder(context, this.ledger, this.demand);
    // The transfer is not awaited: it requests a scheduling cycle at its end, which uses the new quota.
    this.requester = new QuotaTransferRequester(
      context,
      this.demand,
      (request) => void this.responder.handleRequest(request),
    );
  }

  /** Returns the quota that a shard of this controller may use for a team: its quota minus a pending transfer. */
  shardQuota(shard: ShardId, team: TeamId): Resources {
    return this.ledger.shardQuota(shard, team);
  }

  /** Returns, by team, the whole units that a shard of this controller could give, for the announcements. */
  unusedQuota(shard: Shard): Map<TeamId, Resources> {
    return this.demand.unusedQuota(shard);
  }

  /**
   * Requests quota from other shards for the team's tasks that wait for it in the shard and need `waiting` in total.
   */
  requestQuota(shard: Shard, team: TeamId, waiting: Resources): void {
    this.requester.requestQuota(shard, team, waiting);
  }

  /** Handles another shard's request for quota: transfers unused quota if this controller leads the donor shard. */
  handleRequest(request: QuotaTransferRequest): Promise<void> {
    return this.responder.handleRequest(request);
  }
}
