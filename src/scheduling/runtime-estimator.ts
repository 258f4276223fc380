/** Learns how far a lane's estimates are off: on some days nearly all are too high, or too low. */
const MAX_SAMPLES = 40;
const MIN_SAMPLES = 6;

export class RuntimeEstimator {
  private readonly ratios = new Map<string, number[]>();
  private readonly medians = new Map<string, number>();

  addSample(jobClass: string, estimateS: number, actualS: number): void {
    if (estimateS <= 0 || actualS <= 0) return;
    const ratios = this.ratios.get(jobClass) ?? [];
    ratios.push(actualS / estimateS);
    if (ratios.length > MAX_SAMPLES) ratios.shift();
    this.ratios.set(jobClass, ratios);
    if (ratios.length < MIN_SAMPLES) return;
    const sorted = [...ratios].sort((a, b) => a - b);
    const median = sorted[Math.floor(sorted.length / 2)] ?? 1;
    this.medians.set(jobClass, Math.min(4, Math.max(0.25, median)));
  }

  /** Median of actual over estimated run time; 1 until enough has been seen. */
  correctionFactor(jobClass: string): number {
    return this.medians.get(jobClass) ?? 1;
  }
}
