/**
 * Copies of answered requests with commands: a worker executes each copy as token and agent epoch allow, although the
 * sender has had its answer. PROTOCOL: every command may be repeated.
 */
import type { Host } from './clock.js';
import type { Bounds, RandomStream } from './random.js';

/** Which requests are repeated, and when. */
export interface RepeatedCommandOptions {
  /** Share of answered requests that arrive again. */
  readonly share: number;
  /** Whether copies are held back until a controller ends, instead of for a random time. */
  readonly heldUntilControllerEnds: boolean;
  readonly random: RandomStream;
}

/** An answered request: the machine that executed it, and its execution. */
interface AnsweredRequest {
  readonly host: Host;
  readonly execute: () => void;
}

const MAX_COPIES = 3;
const MIN_DELAY_MS = 200;
/** The longest delay, as a multiple of the worker's lease. */
const MAX_DELAY_LEASES = 2;
/** Copies that were held back arrive before a successor can have acquired the shard. */
const HELD_DELAY_MS: Bounds = { low: 0, high: 50 };

/** Delivers copies of answered requests, late and in any order. */
export class RepeatedCommands {
  /** null: no request is repeated. */
  options: RepeatedCommandOptions | null = null;
  private held: AnsweredRequest[] = [];

  constructor(private readonly leaseMs: number) {}

  /** Schedules copies of a request that the machine has just answered. */
  afterAnswer(request: AnsweredRequest): void {
    const { options } = this;
    if (!options?.random.chance(options.share)) return;
    if (options.heldUntilControllerEnds) {
      this.held.push(request);
      return;
    }
    const delays = { low: MIN_DELAY_MS, high: MAX_DELAY_LEASES * this.leaseMs };
    const copies = options.random.integer(1, MAX_COPIES);
    for (let copy = 0; copy < copies; copy += 1) deliver(request, options.random.within(delays));
  }

  /** Delivers the copies that were held back. */
  onControllerEnded(): void {
    const { options, held } = this;
    this.held = [];
    for (const request of held) deliver(request, options?.random.within(HELD_DELAY_MS) ?? 0);
  }
}

/** Delivers a copy unless the machine ends before. */
function deliver({ host, execute }: AnsweredRequest, delayMs: number): void {
  if (host.up) host.after(delayMs, execute);
}
