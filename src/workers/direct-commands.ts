/**
 * Sends commands directly to workers when waiting for their next heartbeat would be too slow: at most one request at a
 * time per machine, and a bounded number in total. `commands.ts` selects the commands. The leadership's command
 * deadline is checked again when a request is written to its connection.
 */
import type { CallOutcome } from '../http/client.js';
import type { Log } from '../logging/log.js';
import type { Settings } from '../settings/settings.js';
import type { Allocation, UnacknowledgedLaunch, Machine, Shard } from '../shards/model.js';
import type { Clock, SteadyMs } from '../model/units.js';
import { millis, plus } from '../model/units.js';
import { DIRECT_CALL_SHARE, type WorkerClients } from './clients.js';
import { FENCING_TOKEN_ONLY, takeDirectCommands, type CommandBatch } from './commands.js';
import type { ShardUpdates } from './shard-updates.js';
import { reconcileHeartbeat } from './reconciliation.js';
import { hasUnacknowledgedLaunch, type ResultRecords } from './release-rules.js';
import { decodeHeartbeat, encodeDirectCommands, WorkerPath, WorkerStatus, type Heartbeat } from './wire.js';

const CALL_TIMEOUT_MS = millis(2000);
/** Delay before a machine that did not reply is called again. */
const RETRY_INTERVAL_MS = millis(2000);
/** After a failover the whole shard waits for the reply, so calls time out sooner and are retried sooner. */
const FAILOVER_CALL_TIMEOUT_MS = millis(1000);
const FAILOVER_RETRY_INTERVAL_MS = millis(250);
const MIN_CONCURRENT_CALLS = 16;

/** The parts of the controller that direct commands use. */
export interface DirectCommandsDependencies extends ResultRecords {
  readonly clock: Clock;
  readonly log: Log;
  readonly settings: Pick<Settings, 'maxConnections'>;
  mayCommand(now: SteadyMs): boolean;
  exclusive<T>(work: () => T): Promise<T>;
}

/** `idle`: nothing is due until the state changes. `wait`: a request is due, but cannot be sent yet. */
type NextCall =
  | { readonly kind: 'idle' }
  | { readonly kind: 'wait' }
  | { readonly kind: 'send'; readonly batch: CommandBatch };

const IDLE: NextCall = { kind: 'idle' };
const WAIT: NextCall = { kind: 'wait' };
const SEND_FENCING_TOKEN: NextCall = { kind: 'send', batch: FENCING_TOKEN_ONLY };

/** The fields by which a worker decides whether it may still execute a launch. */
type LaunchIdentity = Pick<UnacknowledgedLaunch, 'fencingToken' | 'agentEpoch'>;

/** Sends direct requests to workers: a bounded number in total, one at a time per machine. */
export class DirectCommands {
  private activeCalls = 0;

  constructor(
    private readonly controller: DirectCommandsDependencies,
    private readonly clients: Pick<WorkerClients, 'clientFor'>,
    private readonly shardUpdates: ShardUpdates,
  ) {}

  /** Sends the commands that are due to a shard's machines, up to the call limit; the next dispatch sends the rest. */
  dispatch(shard: Shard): void {
    const now = this.controller.clock.now();
    if (!this.controller.mayCommand(now)) return;
    for (const machine of shard.machinesWithPendingCommands) {
      // After a failover there may be hundreds of machines to call, and each call takes a connection.
      if (this.activeCalls >= this.maxConcurrentCalls) return;
      const next = nextCall(shard, machine, now, this.controller);
      if (next.kind === 'idle') shard.machinesWithPendingCommands.delete(machine);
      // Not awaited: the outcome is applied under the lock, and the dispatch continues with the other machines.
      if (next.kind === 'send') void this.send(shard, machine, next.batch);
    }
  }

  private get maxConcurrentCalls(): number {
    const share = Math.floor(this.controller.settings.maxConnections * DIRECT_CALL_SHARE);
    return Math.max(MIN_CONCURRENT_CALLS, share);
  }

  private async send(shard: Shard, machine: Machine, { commands, launches }: CommandBatch): Promise<void> {
    machine.directRequestInFlight = true;
    machine.directLaunchInFlight = launches.length > 0;
    this.activeCalls += 1;
    this.shardUpdates.sentCommands.record(shard, machine, commands);
    const sent = { fencingToken: shard.tokens.tokenOf(machine), agentEpoch: machine.agentEpoch };
    const outcome = await this.clients.clientFor(machine.address).call({
      method: 'POST',
      path: WorkerPath.commands,
      body: encodeDirectCommands(sent.fencingToken, sent.agentEpoch, commands),
      timeout: machine.reconciled ? CALL_TIMEOUT_MS : FAILOVER_CALL_TIMEOUT_MS,
      // Prevents: a connection takes so long to open that the command deadline passes, the next leader starts the task
      // elsewhere, and only then the launch is written.
      mayStillSend: () => this.controller.mayCommand(this.controller.clock.now()),
    });
    await this.controller.exclusive(() => {
      machine.directRequestInFlight = false;
      machine.directLaunchInFlight = false;
      this.activeCalls -= 1;
      shard.machinesWithPendingCommands.add(machine);
      this.applyOutcome(shard, machine, launches, outcome, sent);
      this.shardUpdates.onShardChanged(shard);
    });
  }

  private applyOutcome(
    shard: Shard,
    machine: Machine,
    launches: readonly Allocation[],
    outcome: CallOutcome,
    sent: LaunchIdentity,
  ): void {
    const now = this.controller.clock.now();
    for (const launch of launches) launch.launchInFlight = false;
    const heartbeat = decodeReply(outcome);
    if (heartbeat && heartbeat.machine === machine.id) {
      machine.unreachableSince = null;
      machine.missedDirectRequests = 0;
      reconcileHeartbeat(shard, machine, heartbeat, 'direct', this.shardUpdates.reconciliationContext(now));
      return;
    }
    recordMissedRequest(machine, now);
    this.controller.log.debug(
      { machine: machine.id, outcome: outcome.kind, launches: launches.length },
      'no valid reply to direct request',
    );
    repeatStops(machine);
    if (!isCertainlyNotExecuted(outcome)) markUnacknowledged(launches, sent, now);
  }
}

/** Returns the next direct request to a machine; the commands of a returned batch are marked as sent. */
function nextCall(shard: Shard, machine: Machine, now: SteadyMs, records: ResultRecords): NextCall {
  if (machine.scalingIn) return IDLE;
  if (machine.directRequestInFlight || machine.address === '') return WAIT;
  const tokenIsOutdated = shard.tokens.tokenOf(machine) > machine.fencingToken;
  const mayRetry = now >= machine.quarantinedUntil;
  if (!machine.reconciled && tokenIsOutdated) return mayRetry ? SEND_FENCING_TOKEN : WAIT;
  if (machine.unreachableSince !== null)
    return mayRetry ? { kind: 'send', batch: takeDirectCommands(shard, machine, records) } : WAIT;
  if (machine.lastMessageAt === null) return IDLE;
  const batch = takeDirectCommands(shard, machine, records);
  if (batch.commands.length > 0) return { kind: 'send', batch };
  if (!tokenIsOutdated || !hasUnacknowledgedLaunch(machine, () => true)) return IDLE;
  return mayRetry ? SEND_FENCING_TOKEN : WAIT;
}

/** Decodes a worker's status from its reply, also when it has refused an old fencing token or another agent epoch. */
function decodeReply(outcome: CallOutcome): Heartbeat | null {
  if (outcome.kind !== 'answer') return null;
  const hasStatus = outcome.status === WorkerStatus.ok || outcome.status === WorkerStatus.stale;
  return hasStatus ? decodeHeartbeat(outcome.body) : null;
}

/** Marks the machine as unreachable: no new task is placed on it until it replies. */
function recordMissedRequest(machine: Machine, now: SteadyMs): void {
  machine.missedDirectRequests += 1;
  machine.quarantinedUntil = plus(now, machine.reconciled ? RETRY_INTERVAL_MS : FAILOVER_RETRY_INTERVAL_MS);
  machine.unreachableSince ??= now;
}

/**
 * Marks stops that may not have arrived as due again: the tasks of a gang must be stopped within seconds of each other.
 */
function repeatStops(machine: Machine): void {
  for (const allocation of machine.allocations.values())
    if (allocation.stop?.direct === 'sent') allocation.stop.direct = 'due';
}

function isCertainlyNotExecuted(outcome: CallOutcome): boolean {
  return (
    outcome.kind === 'unsent' || (outcome.kind === 'answer' && outcome.status === WorkerStatus.malformed)
  );
}

/**
 * Prevents: a launch without a reply is assumed to be lost, its task is started elsewhere, and the worker executes the
 * launch minutes later, which it may do as long as its fencing token and agent epoch are unchanged.
 */
function markUnacknowledged(launches: readonly Allocation[], sent: LaunchIdentity, now: SteadyMs): void {
  for (const launch of launches) launch.unacknowledged = { ...sent, sentAt: now };
}
