/** Kinds of transactions of the state service, as tests that inject faults into transactions tell them apart. */
import type { TransactionBody } from './fake-store.js';
import type { SimulatedCluster } from './simulated-cluster.js';

export const changesOf = (body: TransactionBody): NonNullable<TransactionBody['apply']> => body.apply ?? [];

export const putsUnder = (body: TransactionBody, prefix: string): boolean =>
  changesOf(body).some((change) => change.put?.startsWith(prefix));

export const isCreation = (body: TransactionBody): boolean =>
  putsUnder(body, 'c/live/') && body.when.some((condition) => condition.path.startsWith('over/'));

export const isEnd = (body: TransactionBody): boolean =>
  changesOf(body).some((change) => change.put?.startsWith('over/'));

export const isCancellation = (body: TransactionBody): boolean =>
  isEnd(body) && JSON.stringify(body).includes('cancelled');

/** Returns the job that a transaction accepts or ends, or null for other transactions. */
export function acceptedOrEndedJob(body: TransactionBody): string | null {
  if (!isCreation(body) && !isEnd(body)) return null;
  const entry = changesOf(body).find((change) => /^(c\/live|over)\//.test(change.put ?? ''));
  return entry?.put?.split('/').at(-1) ?? null;
}

export type TransactionKind =
  | 'submission'
  | 'cancellation'
  | 'completion'
  | 'progress or overflow'
  | 'token claim'
  | 'quota transfer'
  | 'other';

export function classify(body: TransactionBody): TransactionKind {
  if (isCreation(body)) return 'submission';
  if (isCancellation(body)) return 'cancellation';
  if (isEnd(body)) return 'completion';
  if (putsUnder(body, 'c/live/')) return 'progress or overflow';
  if (putsUnder(body, 'c/token')) return 'token claim';
  return putsUnder(body, 'c/quota/') ? 'quota transfer' : 'other';
}

export const INJECTED_KINDS: readonly TransactionKind[] = [
  'submission',
  'cancellation',
  'completion',
  'progress or overflow',
  'token claim',
  'quota transfer',
];

/** Delays the first transaction of a kind; later ones pass. */
export function delayFirst(cluster: SimulatedCluster, kind: TransactionKind, delayMs: number): void {
  let isDelayed = false;
  cluster.store.transactionFate = (_, body) => {
    if (isDelayed || classify(body) !== kind) return 'normal';
    isDelayed = true;
    return { holdMs: delayMs };
  };
}
