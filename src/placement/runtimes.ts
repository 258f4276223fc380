/** Learns how far a lane's estimates are off: on some days nearly all are too high, or too low. */
const KEPT = 40;
const MIN_SAMPLES = 6;

export class RuntimeEstimator {
  private readonly ratios = new Map<string, number[]>();
  private readonly medians = new Map<string, number>();

  learn(lane: string, estimateS: number, actualS: number): void {
    if (estimateS <= 0 || actualS <= 0) return;
    const list = this.ratios.get(lane) ?? [];
    list.push(actualS / estimateS);
    if (list.length > KEPT) list.shift();
    this.ratios.set(lane, list);
    if (list.length < MIN_SAMPLES) return;
    const sorted = [...list].sort((a, b) => a - b);
    const median = sorted[Math.floor(sorted.length / 2)] ?? 1;
    this.medians.set(lane, Math.min(4, Math.max(0.25, median)));
  }

  /** Median of actual over estimated run time; 1 until enough has been seen. */
  correction(lane: string): number {
    return this.medians.get(lane) ?? 1;
  }
}
