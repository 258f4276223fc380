/** Starts the faults of a scenario at their time or on their triggering event, and ends them. */
import { applyToControllers } from './controller-faults.js';
import type { EndFault, FaultActivation, FaultTarget, SimulationEvent } from './fault-target.js';
import { applyToMachines } from './machine-faults.js';
import type { RandomStream } from './random.js';
import type { Fault } from './scenario-schema.js';
import { applyToCloudAndLinks, applyToStore } from './service-faults.js';
import { applyToUsers } from './user-faults.js';

interface WaitingFault {
  readonly fault: Fault;
  remainingEvents: number;
}

/** Activates each fault at its time or on its event, and informs the invariant checker when none is active or pending. */
export class FaultSchedule {
  private waiting: WaitingFault[] = [];
  private activeCount = 0;
  private pendingCount = 0;
  /** Number of faults that have begun. */
  begunCount = 0;

  constructor(
    private readonly target: FaultTarget,
    private readonly random: RandomStream,
  ) {}

  start(faults: readonly Fault[]): void {
    for (const fault of faults) {
      this.pendingCount += 1;
      this.target.queue.after(fault.at_s * 1000, () => this.activate(fault));
    }
    this.updateFaultsOver();
  }

  private activate(fault: Fault): void {
    this.pendingCount -= 1;
    if (fault.on === undefined) this.begin(fault, null);
    else this.waiting.push({ fault, remainingEvents: fault.nth });
    this.updateFaultsOver();
  }

  private updateFaultsOver(): void {
    this.target.invariantChecker.setFaultsOver(this.activeCount === 0 && this.pendingCount === 0);
  }

  onEvent(event: SimulationEvent): void {
    for (const waiting of [...this.waiting]) {
      const { fault } = waiting;
      if (fault.on !== event.name) continue;
      const prefix = fault.key;
      if (prefix !== undefined && !event.keys?.some((key) => key.startsWith(prefix))) continue;
      waiting.remainingEvents -= 1;
      if (waiting.remainingEvents > 0) continue;
      this.waiting = this.waiting.filter((other) => other !== waiting);
      this.begin(fault, event);
    }
  }

  private begin(fault: Fault, event: SimulationEvent | null): void {
    const { queue, trace } = this.target;
    this.activeCount += 1;
    this.updateFaultsOver();
    queue.after(fault.after_ms, () => {
      this.begunCount += 1;
      trace.add(`fault ${fault.kind} begins`);
      // Each fault has its own random stream, so that removing other faults does not change its choices.
      const random = this.random.fork(`${fault.kind}/${fault.at_s}`);
      const endFault = this.apply({ fault, event, random });
      const durationMs = 'for_s' in fault ? fault.for_s * 1000 : 0;
      queue.after(durationMs, () => {
        endFault?.();
        trace.add(`fault ${fault.kind} ends`);
        this.activeCount -= 1;
        this.updateFaultsOver();
      });
    });
  }

  private apply(activation: FaultActivation): EndFault {
    const { target } = this;
    return (
      applyToControllers(target, activation) ??
      applyToStore(target, activation) ??
      applyToCloudAndLinks(target, activation) ??
      applyToMachines(target, activation) ??
      applyToUsers(target, activation)
    );
  }
}
