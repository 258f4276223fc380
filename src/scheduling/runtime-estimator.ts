/**
 * Learns how far the run time estimates of each job class are off. They are often wrong in one direction for hours, so
 * a median of recent tasks corrects them.
 */

/** Recent tasks of a class that count. */
const MAX_SAMPLES = 40;
/** Before so many have ended, estimates are taken as they are. */
const MIN_SAMPLES = 6;
/** Limits of the correction, so that no run of odd tasks makes estimates useless. */
const MIN_CORRECTION = 0.25;
const MAX_CORRECTION = 4;

/** Actual over estimated run time, by job class. */
export class RuntimeEstimator {
  private readonly ratios = new Map<string, number[]>();
  private readonly medians = new Map<string, number>();

  /** A task of the class has ended; times without a meaning are left out. */
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

  /** Median of actual over estimated run time; 1 until enough tasks have ended. */
  correctionFactor(jobClass: string): number {
    return this.medians.get(jobClass) ?? 1;
  }
}
