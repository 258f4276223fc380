/** Messages between this controller and its peers: sends periodic announcements and dispatches received messages. */
import type { Core } from '../core.js';
import type { ControllerId, JobId, Revision, SteadyMs } from '../model/units.js';
import { Throttle } from '../model/throttle.js';
import type { ShardLeadership } from '../leadership/leadership.js';
import { composeAnnouncement, receiveMessage } from '../overflow/announcement.js';
import type { MachineTransferService } from '../overflow/machine-transfer.js';
import { encodePeerMessage } from '../peers/codec.js';
import type { CancellationNotice } from '../peers/messages.js';
import type { PeerTransport } from '../peers/peer-transport.js';
import type { QuotaTransferService } from '../quota/transfer-service.js';
import type { JobAssigner } from './job-assignment.js';
import { borrowStoreLimits } from './store-limits.js';

/**
 * A transport that components can hold before the controller listens for its peers. It drops messages sent before
 * `open`, since messages to peers may be lost anyway.
 */
export class DeferredPeerTransport implements PeerTransport {
  private transport: PeerTransport | null = null;

  /** Sends all later messages through this transport. */
  open(transport: PeerTransport): void {
    this.transport = transport;
  }

  send(to: ControllerId, message: unknown): void {
    this.transport?.send(to, message);
  }

  broadcast(message: unknown): void {
    this.transport?.broadcast(message);
  }
}

/** The components that take part in the exchange with peers. */
export interface PeerMessageHandlers {
  readonly leadership: Pick<ShardLeadership, 'redirectedHeartbeatCounts'>;
  readonly machineTransfers: Pick<MachineTransferService, 'handleRequest'>;
  readonly quotaTransfers: Pick<QuotaTransferService, 'handleRequest' | 'unusedQuota'>;
  readonly jobAssigner: Pick<JobAssigner, 'refreshFreeCapacity'>;
}

/** Sends announcements to the peers, and handles messages from them. */
export class PeerMessages {
  private readonly announcementThrottle: Throttle;

  constructor(
    private readonly core: Core,
    private readonly handlers: PeerMessageHandlers,
  ) {
    this.announcementThrottle = new Throttle(core.tuning.announcementInterval);
  }

  /** Announces free capacity and unused quota at most once per announcement interval. */
  announce(now: SteadyMs): void {
    const { core, handlers } = this;
    if (!this.announcementThrottle.tryAcquire(now)) return;
    handlers.jobAssigner.refreshFreeCapacity(now);
    borrowStoreLimits(core);
    const announcement = composeAnnouncement(
      core,
      (shard) => handlers.quotaTransfers.unusedQuota(shard),
      handlers.leadership.redirectedHeartbeatCounts(),
    );
    core.peerTransport.broadcast(encodePeerMessage(announcement));
  }

  /** Notifies the peers of a committed cancellation; the message may be lost. */
  announceCancellation(job: JobId, version: Revision): void {
    const notice: CancellationNotice = { kind: 'cancellationNotice', job, version };
    this.core.peerTransport.broadcast(encodePeerMessage(notice));
  }

  /** Handles a message that was decoded from its frame. */
  receive(message: unknown): void {
    const { core, handlers } = this;
    const request = receiveMessage(core, message);
    // Not awaited: a transfer ends with a write to the store, and the peer repeats its request if it sees no write.
    if (request?.kind === 'quotaTransferRequest') void handlers.quotaTransfers.handleRequest(request);
    if (request?.kind === 'machineRequest') handlers.machineTransfers.handleRequest(request);
    core.requestCycle();
  }
}
