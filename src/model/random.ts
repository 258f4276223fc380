/** Seeded random numbers for the decisions of one controller: the same seed gives the same draws. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';

/** Draws a whole number from 0 (included) to `below` (excluded); 0 without a draw if `below` is 1 or less. */
export type Random = (below: number) => number;

/** A source of draws that depends on the seed alone. */
export function seededRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return (below) => (below <= 1 ? 0 : uniformInt(generator, 0, below - 1));
}
