/**
 * Encodes and decodes the requests between shards for quota and machines, and the notices of cancellation. This is the
 * only module that knows their names on the wire. During an upgrade, two versions exchange messages, so fields that a
 * later version adds are optional and are ignored by earlier versions.
 */
import * as v from 'valibot';
import type { InstanceTypeId, JobId, Revision, ShardId, TeamId, ZoneId } from '../model/units.js';
import type {
  CancellationNotice,
  MachineRequest,
  QuotaTransferPurpose,
  QuotaTransferRequest,
} from './messages.js';

/** Wire format of a quota request. */
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

/** Wire format of a cancellation notice. */
export const cancellationNoticeSchema = v.object({
  kind: v.literal('cancelled'),
  job: v.string(),
  version: v.number(),
});

/** Wire format of a machine request. Versions that do not know this message ignore it. */
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

/** Maps the purposes of quota transfers to their names on the wire, and back. */
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

/** Encodes a quota request for the wire. */
export function encodeQuotaTransferRequest(request: QuotaTransferRequest): SentQuotaTransferRequest {
  const { requestingShard: from, donorShard: to, team, cpus, gpus, memoryGb } = request;
  return { kind: 'ask', from, to, team, cpus, gpus, memoryGb, purpose: SENT_PURPOSE[request.purpose] };
}

/** Decodes a quota request from the wire. */
export function decodeQuotaTransferRequest(sent: SentQuotaTransferRequest): QuotaTransferRequest {
  const { cpus, gpus, memoryGb } = sent;
  return {
    kind: 'quotaTransferRequest',
    requestingShard: sent.from as ShardId,
    donorShard: sent.to as ShardId,
    team: sent.team as TeamId,
    cpus,
    gpus,
    memoryGb,
    purpose: PURPOSE[sent.purpose],
  };
}

/** Encodes a cancellation notice for the wire. */
export function encodeCancellationNotice(notice: CancellationNotice): SentCancellationNotice {
  return { kind: 'cancelled', job: notice.job, version: notice.version };
}

/** Decodes a cancellation notice from the wire. */
export function decodeCancellationNotice(sent: SentCancellationNotice): CancellationNotice {
  return { kind: 'cancellationNotice', job: sent.job as JobId, version: sent.version as Revision };
}

/** Encodes a machine request for the wire. */
export function encodeMachineRequest(request: MachineRequest): SentMachineRequest {
  const { requestingShard: from, donorShard: to, cpus, gpus, memoryGb, tasks, zone, spot } = request;
  const types = request.types === null ? null : [...request.types];
  return { kind: 'machines', from, to, cpus, gpus, memoryGb, tasks, types, spot, zone };
}

/** Decodes a machine request from the wire. */
export function decodeMachineRequest(sent: SentMachineRequest): MachineRequest {
  const { cpus, gpus, memoryGb, tasks, spot } = sent;
  return {
    kind: 'machineRequest',
    requestingShard: sent.from as ShardId,
    donorShard: sent.to as ShardId,
    cpus,
    gpus,
    memoryGb,
    tasks,
    types: sent.types as InstanceTypeId[] | null,
    zone: sent.zone as ZoneId,
    spot,
  };
}
