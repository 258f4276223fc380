/** Sends orders straight to workers, where waiting for their next report would be too slow. */
import type { Core } from '../core.js';
import type { CallOutcome } from '../http/client.js';
import type { Allocation, UnacknowledgedLaunch, Machine, Shard } from '../shards/model.js';
import type { SteadyMs } from '../model/units.js';
import { millis, plus } from '../model/units.js';
import { DIRECT_CALL_SHARE, type WorkerClients } from './clients.js';
import { takeDirectCommands } from './commands.js';
import type { ShardUpdates } from './shard-updates.js';
import { reconcileHeartbeat } from './reconciliation.js';
import { decodeHeartbeat, encodeDirectCommands, type WorkerCommand } from './wire.js';

const CALL_TIMEOUT = millis(2000);
/** How often a machine that we could not reach is tried again. */
const RETRY_INTERVAL_MS = 2000;
/** After a claim the whole part waits for the answer: shorter, and asked again sooner. */
const FAILOVER_CALL_TIMEOUT = millis(1000);
const FAILOVER_RETRY_INTERVAL_MS = 250;
const MIN_CONCURRENT_CALLS = 16;

/** What one call carries. */
interface Delivery {
  readonly commands: readonly WorkerCommand[];
  readonly launches: readonly Allocation[];
}

/** Orders without content still carry our token. */
const TOKEN_ONLY: Delivery = { commands: [], launches: [] };

/** Bounded calls to workers, one at a time for each machine. */
export class DirectCommands {
  private activeCalls = 0;

  constructor(
    private readonly core: Core,
    private readonly clients: WorkerClients,
    private readonly shardUpdates: ShardUpdates,
  ) {}

  /** Sends what is due on every machine, one request a machine at a time. */
  dispatch(shard: Shard): void {
    const now = this.core.clock.now();
    if (!this.core.mayCommand(now)) return;
    for (const machine of shard.machinesWithPendingCommands) {
      // Bounded: after a takeover there are hundreds to talk to, and each costs a connection.
      if (this.activeCalls >= this.maxConcurrentCalls) return;
      if (!this.sendPending(shard, machine, now)) shard.machinesWithPendingCommands.delete(machine);
    }
  }

  /** Sends what is due on one machine; false: there is nothing to say, until something changes. */
  private sendPending(shard: Shard, machine: Machine, now: SteadyMs): boolean {
    if (machine.scalingIn) return false;
    if (machine.directRequestInFlight || machine.address === '') return true;
    const behind = shard.fencingToken > machine.fencingToken;
    if (!machine.reconciled && behind) {
      if (now >= machine.quarantinedUntil) void this.deliver(shard, machine, TOKEN_ONLY);
      return true;
    }
    if (machine.unreachableSince !== null) {
      if (now < machine.quarantinedUntil) return true;
      void this.deliver(shard, machine, takeDirectCommands(shard, machine, now));
      return true;
    }
    if (machine.lastHeardAt === null) return false;
    const pending = takeDirectCommands(shard, machine, now);
    if (pending.commands.length > 0) void this.deliver(shard, machine, pending);
    else if (!behind || !hasUnacknowledgedLaunch(machine)) return false;
    else if (now >= machine.quarantinedUntil) void this.deliver(shard, machine, TOKEN_ONLY);
    return true;
  }

  private get maxConcurrentCalls(): number {
    return Math.max(MIN_CONCURRENT_CALLS, Math.floor(this.core.settings.maxConnections * DIRECT_CALL_SHARE));
  }

  private async deliver(shard: Shard, machine: Machine, { commands, launches }: Delivery): Promise<void> {
    machine.directRequestInFlight = true;
    this.activeCalls += 1;
    const token = shard.fencingToken;
    const agentEpoch = machine.agentEpoch;
    const body = encodeDirectCommands(token, agentEpoch, commands);
    const outcome = await this.clients.clientFor(machine.address).call({
      method: 'POST',
      path: '/orders',
      body,
      timeout: machine.reconciled ? CALL_TIMEOUT : FAILOVER_CALL_TIMEOUT,
      // The connection may take so long that we are not entitled any more when it is there.
      mayStillSend: () => this.core.mayCommand(this.core.clock.now()),
    });
    await this.core.exclusive(() => {
      machine.directRequestInFlight = false;
      this.activeCalls -= 1;
      shard.machinesWithPendingCommands.add(machine);
      this.applyOutcome(shard, machine, launches, outcome, { fencingToken: token, agentEpoch });
      this.shardUpdates.onShardChanged(shard);
    });
  }

  private applyOutcome(
    shard: Shard,
    machine: Machine,
    launches: readonly Allocation[],
    outcome: CallOutcome,
    sent: Pick<UnacknowledgedLaunch, 'fencingToken' | 'agentEpoch'>,
  ): void {
    const now = this.core.clock.now();
    for (const launch of launches) launch.launchInFlight = false;
    const answered = outcome.kind === 'answer' && (outcome.status === 200 || outcome.status === 409);
    const heartbeat = answered ? decodeHeartbeat(outcome.body) : null;
    if (heartbeat && heartbeat.machine === machine.id) {
      machine.unreachableSince = null;
      machine.missedDirectRequests = 0;
      reconcileHeartbeat(shard, machine, heartbeat, 'direct', this.shardUpdates.reconciliationContext(now));
      return;
    }
    machine.missedDirectRequests += 1;
    machine.quarantinedUntil = plus(
      now,
      millis(machine.reconciled ? RETRY_INTERVAL_MS : FAILOVER_RETRY_INTERVAL_MS),
    );
    machine.unreachableSince ??= now;
    const unsent = outcome.kind === 'unsent' || (outcome.kind === 'answer' && outcome.status === 400);
    this.core.log.debug(
      { machine: machine.id, outcome: outcome.kind, launches: launches.length },
      'direct order',
    );
    // What did not arrive is due again: the tasks of a gang must be told to stop within seconds of each other.
    for (const allocation of machine.allocations.values())
      if (allocation.stop?.direct === 'sent') allocation.stop.direct = 'due';
    // Sent and not answered: it may be carried out minutes from now, as long as token and session match.
    if (!unsent) for (const launch of launches) launch.unacknowledged = { ...sent, sentAt: now };
  }
}

function hasUnacknowledgedLaunch(machine: Machine): boolean {
  for (const allocation of machine.allocations.values()) if (allocation.unacknowledged) return true;
  for (const exitedTask of machine.exitedTasks.values()) if (exitedTask.unacknowledged) return true;
  return false;
}
