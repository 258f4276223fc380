/**
 * Corrects the run time estimates of each job class. They are often wrong in one direction for hours, so they
 * are multiplied by the median ratio of actual to estimated run time of recent tasks.
 */

/** Maximum number of recent tasks of a class that are evaluated. */
const MAX_SAMPLES = 40;
/** Estimates are not corrected before this many tasks have ended. */
const MIN_SAMPLES = 6;
/** Limits of the correction factor, so that a series of outliers does not make estimates useless. */
const MIN_CORRECTION = 0.25;
const MAX_CORRECTION = 4;

/** Tracks the ratio of actual to estimated run time by job class. */
export class RuntimeEstimator {
  private readonly ratios = new Map<string, number[]>();
  private readonly medians = new Map<string, number>();

  /** Records the run time of a task that has ended. Ignores times that are not positive. */
  addSample(jobClass: string, estimateS: number, actualS: number): void {
    if (estimateS <= 0 || actualS <= 0) return;
    const ratios = this.ratios.get(jobClass) ?? [];
    ratios.push(actualS / estimateS);
    if (ratios.length > MAX_SAMPLES) ratios.shift();
    this.ratios.set(jobClass, ratios);
    if (ratios.length < MIN_SAMPLES) return;
    const sorted = [...ratios].sort((first, second) => first - second);
    const median = sorted[Math.floor(sorted.length / 2)] ?? 1;
    this.medians.set(jobClass, Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, median)));
  }

  /**
   * Returns the median ratio of actual to estimated run time, within limits; 1 until enough tasks have ended.
   */
  correctionFactor(jobClass: string): number {
    return this.medians.get(jobClass) ?? 1;
  }
}
