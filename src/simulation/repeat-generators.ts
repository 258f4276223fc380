/** Generators of random faults that repeat requests which were carried out and answered. */
import type { FaultGenerator } from './fault-generators.js';
import type { Bounds, RandomStream } from './random.js';

const DURATION_S: Bounds = { low: 10, high: 60 };
const COMMAND_SHARE: Bounds = { low: 0.1, high: 1 };
const WRITE_SHARE: Bounds = { low: 0.1, high: 0.4 };
const RENTAL_SHARE = 0.5;
/** Share of schedules whose copies of commands are held until a controller ends. */
const FAILOVER_SHARE = 0.2;

const randomDurationS = (random: RandomStream): number => Math.round(random.within(DURATION_S));

/** One generator for each kind of request. The order of the draws determines the faults of a seed. */
export const REPEAT_GENERATORS: readonly FaultGenerator[] = [
  (random) => ({
    kind: 'repeated_commands',
    share: random.within(COMMAND_SHARE),
    for_s: randomDurationS(random),
    at_failover: random.chance(FAILOVER_SHARE),
  }),
  (random) => ({
    kind: 'repeated_writes',
    share: random.within(WRITE_SHARE),
    for_s: randomDurationS(random),
  }),
  (random) => ({ kind: 'repeated_requests', share: RENTAL_SHARE, for_s: randomDurationS(random) }),
];
