/**
 * The fencing tokens and attempt numbers of one leadership of a shard. An acquisition takes a range of tokens: the first
 * is sent to all machines, and the others raise the token of single machines without a write to the store. The next
 * acquisition of any shard starts above the range.
 */
import type { Attempt, FencingToken } from '../model/units.js';
import type { Machine } from './machine.js';

/** How many fencing tokens an acquisition takes. */
export const TOKENS_PER_ACQUISITION = 1024;
/** How many attempt numbers there are for each fencing token. */
const ATTEMPTS_PER_TOKEN = 1_048_576;
/** A new range is needed when less than this share of the tokens or of the attempt numbers is left. */
const SHARE_LEFT_AT_RENEWAL = 0.25;

/** Returns the last token of the range that an acquisition takes with its first token. */
export const lastTokenOfRange = (first: FencingToken): FencingToken =>
  (first + TOKENS_PER_ACQUISITION - 1) as FencingToken;

/** Issues fencing tokens for machines, and attempt numbers. */
export class LeadershipTokens {
  private attemptCounter = 0;
  private currentToken: FencingToken;
  private highestToken: FencingToken;

  /** @param firstToken the token under which the shard was acquired */
  constructor(private readonly firstToken: FencingToken) {
    this.currentToken = firstToken;
    this.highestToken = firstToken;
  }

  /** The token that a machine is sent unless its own has been raised. */
  get current(): FencingToken {
    return this.currentToken;
  }

  /** Adopts a higher fencing token of this leader: attempts under it have larger numbers than all earlier attempts. */
  adopt(token: FencingToken): void {
    if (token <= this.currentToken) return;
    this.currentToken = token;
    this.highestToken = token;
    this.attemptCounter = 0;
  }

  /** Returns the token of all messages to the machine; it never decreases. */
  tokenOf({ raisedToken }: Machine): FencingToken {
    return Math.max(this.currentToken, raisedToken) as FencingToken;
  }

  /**
   * Raises the token of a machine, which from then on refuses all commands that were sent to it before. Returns false,
   * without any effect, if the range is used up.
   */
  raiseTokenOf(machine: Machine): boolean {
    const next = (this.tokenOf(machine) + 1) as FencingToken;
    if (next > lastTokenOfRange(this.currentToken)) return false;
    machine.raisedToken = next;
    this.highestToken = Math.max(this.highestToken, next) as FencingToken;
    return true;
  }

  /**
   * Whether few attempt numbers or tokens are left: those after them belong to the next acquisition, perhaps of another
   * leader.
   */
  get needsNewRange(): boolean {
    return (
      this.attemptCounter >= ATTEMPTS_PER_TOKEN * (1 - SHARE_LEFT_AT_RENEWAL) ||
      this.highestToken - this.currentToken >= TOKENS_PER_ACQUISITION * (1 - SHARE_LEFT_AT_RENEWAL)
    );
  }

  /**
   * Returns a number that is unique among all starts of tasks on all controllers: only this leader has the fencing
   * token, and the counter never decreases. Throws when all numbers of the token have been used.
   */
  nextAttempt(): Attempt {
    if (this.attemptCounter >= ATTEMPTS_PER_TOKEN - 1)
      throw new Error(`the leader has used all attempts of fencing token ${this.currentToken}`);
    this.attemptCounter += 1;
    return (this.currentToken * ATTEMPTS_PER_TOKEN + this.attemptCounter) as Attempt;
  }

  /** Whether this leader started the attempt after it acquired the shard. */
  issuedAttempt(attempt: Attempt): boolean {
    return attempt >= this.firstToken * ATTEMPTS_PER_TOKEN;
  }
}
