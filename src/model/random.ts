/** Seeded random numbers for the decisions of one controller: the same seed yields the same sequence. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';

/** Returns a random integer from 0 to `below` (exclusive); returns 0 without a draw if `below` is 1 or less. */
export type Random = (below: number) => number;

/** Creates a random number generator whose sequence depends on the seed alone. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return (below) => (below <= 1 ? 0 : uniformInt(generator, 0, below - 1));
}
