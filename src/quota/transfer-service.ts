/**
 * Moves unused quota to the shards where the team's tasks wait: the service that the scheduler and the controller see.
 * What a shard may use is kept by the ledger, what it needs and can spare is computed by the demand, and the requester
 * and the responder are the two sides of a transfer.
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

/** Quotas of the shards that this controller leads, and their transfers from and to other shards. */
export class QuotaTransferService {
  private readonly ledger: QuotaLedger;
  private readonly demand: QuotaDemand;
  private readonly requester: QuotaTransferRequester;
  private readonly responder: QuotaTransferResponder;

  constructor(context: QuotaTransferContext) {
    this.ledger = new QuotaLedger(context);
    this.demand = new QuotaDemand(context, this.ledger);
    this.responder = new QuotaTransferResponder(context, this.ledger, this.demand);
    // Nobody waits for a transfer: the scheduling cycle that it requests at its end shows what it came to.
    this.requester = new QuotaTransferRequester(
      context,
      this.demand,
      (request) => void this.responder.handleRequest(request),
    );
  }

  /** What a shard of this controller may use for a team: its quota less what it is giving away. */
  shardQuota(shard: ShardId, team: TeamId): Resources {
    return this.ledger.shardQuota(shard, team);
  }

  /** Whole units that a shard of this controller could give, by team, for the announcements. */
  unusedQuota(shard: Shard): Map<TeamId, Resources> {
    return this.demand.unusedQuota(shard);
  }

  /** Tasks of the team that need `waiting` in all wait for quota in the shard: requests some from other shards. */
  requestQuota(shard: Shard, team: TeamId, waiting: Resources): void {
    this.requester.requestQuota(shard, team, waiting);
  }

  /** Another shard requests quota: gives what is unused, if this controller leads the shard that is asked. */
  handleRequest(request: QuotaTransferRequest): Promise<void> {
    return this.responder.handleRequest(request);
  }
}
