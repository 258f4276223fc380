/**
 * Maps the messages about one job, quota or gang, which are the requests between shards and the notices of cancellation,
 * to what goes over the connection: the only module that knows their names there. Two versions talk to each other during
 * an upgrade, so what a later version adds is optional and ignored by earlier ones.
 */
import * as v from 'valibot';
import type { InstanceTypeId, JobId, Revision, ShardId, TeamId, ZoneId } from '../model/units.js';
import type {
  CancellationNotice,
  MachineRequest,
  QuotaTransferPurpose,
  QuotaTransferRequest,
} from './messages.js';

/** The form of a request for quota as it is sent. */
export const quotaTransferRequestSchema = v.object({
  kind: v.literal('ask'),
  from: v.number(),
  to: v.number(),
  team: v.string(),
  cpus: v.number(),
  gpus: v.number(),
  memoryGb: v.optional(v.number(), 0),
  purpose: v.optional(v.picklist(['waiting', 'gather', 'remainder']), 'waiting'),
});

/** The form of a notice of cancellation as it is sent. */
export const cancellationNoticeSchema = v.object({
  kind: v.literal('cancelled'),
  job: v.string(),
  version: v.number(),
});

/** The form of a request for machines as it is sent. Versions that do not know this message ignore it. */
export const machineRequestSchema = v.object({
  kind: v.literal('machines'),
  from: v.number(),
  to: v.number(),
  cpus: v.number(),
  gpus: v.number(),
  memoryGb: v.number(),
  tasks: v.pipe(v.number(), v.integer(), v.minValue(1)),
  types: v.nullable(v.array(v.string())),
  zone: v.string(),
  spot: v.boolean(),
});

type SentQuotaTransferRequest = v.InferOutput<typeof quotaTransferRequestSchema>;
type SentCancellationNotice = v.InferOutput<typeof cancellationNoticeSchema>;
type SentMachineRequest = v.InferOutput<typeof machineRequestSchema>;

/** Purposes of quota transfers as they are sent, and back. */
const SENT_PURPOSE = {
  waiting: 'waiting',
  reservation: 'gather',
  remainder: 'remainder',
} as const satisfies Record<QuotaTransferPurpose, SentQuotaTransferRequest['purpose']>;

const PURPOSE = {
  waiting: 'waiting',
  gather: 'reservation',
  remainder: 'remainder',
} as const satisfies Record<SentQuotaTransferRequest['purpose'], QuotaTransferPurpose>;

/** The request as it is sent. */
export function encodeQuotaTransferRequest(request: QuotaTransferRequest): SentQuotaTransferRequest {
  const { from, to, team, cpus, gpus, memoryGb } = request;
  return { kind: 'ask', from, to, team, cpus, gpus, memoryGb, purpose: SENT_PURPOSE[request.purpose] };
}

/** The request that was sent. */
export function decodeQuotaTransferRequest(sent: SentQuotaTransferRequest): QuotaTransferRequest {
  const { cpus, gpus, memoryGb } = sent;
  return {
    kind: 'quotaTransferRequest',
    from: sent.from as ShardId,
    to: sent.to as ShardId,
    team: sent.team as TeamId,
    cpus,
    gpus,
    memoryGb,
    purpose: PURPOSE[sent.purpose],
  };
}

/** The notice as it is sent. */
export function encodeCancellationNotice(notice: CancellationNotice): SentCancellationNotice {
  return { kind: 'cancelled', job: notice.job, version: notice.version };
}

/** The notice that was sent. */
export function decodeCancellationNotice(sent: SentCancellationNotice): CancellationNotice {
  return { kind: 'cancellationNotice', job: sent.job as JobId, version: sent.version as Revision };
}

/** The request as it is sent. */
export function encodeMachineRequest(request: MachineRequest): SentMachineRequest {
  const { from, to, cpus, gpus, memoryGb, tasks, zone, spot } = request;
  const types = request.types === null ? null : [...request.types];
  return { kind: 'machines', from, to, cpus, gpus, memoryGb, tasks, types, spot, zone };
}

/** The request that was sent. */
export function decodeMachineRequest(sent: SentMachineRequest): MachineRequest {
  const { cpus, gpus, memoryGb, tasks, spot } = sent;
  return {
    kind: 'machineRequest',
    from: sent.from as ShardId,
    to: sent.to as ShardId,
    cpus,
    gpus,
    memoryGb,
    tasks,
    types: sent.types as InstanceTypeId[] | null,
    zone: sent.zone as ZoneId,
    spot,
  };
}
