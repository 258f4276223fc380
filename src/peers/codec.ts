/**
 * Encodes and decodes all messages between controllers. During an upgrade, two versions exchange messages, so kinds and
 * fields keep their names on the wire, which only this module and the codecs of the messages know.
 */
import * as v from 'valibot';
import { announcementSchema, decodeAnnouncement, encodeAnnouncement } from './announcement-codec.js';
import type { PeerMessage } from './messages.js';
import {
  cancellationNoticeSchema,
  decodeCancellationNotice,
  decodeMachineRequest,
  decodeQuotaTransferRequest,
  encodeCancellationNotice,
  encodeMachineRequest,
  encodeQuotaTransferRequest,
  machineRequestSchema,
  quotaTransferRequestSchema,
} from './request-codec.js';

const peerMessageSchema = v.variant('kind', [
  announcementSchema,
  quotaTransferRequestSchema,
  cancellationNoticeSchema,
  machineRequestSchema,
]);

type SentMessage = v.InferOutput<typeof peerMessageSchema>;

/** Encodes a message for the wire. */
export function encodePeerMessage(message: PeerMessage): SentMessage {
  switch (message.kind) {
    case 'capacityAnnouncement':
      return encodeAnnouncement(message);
    case 'quotaTransferRequest':
      return encodeQuotaTransferRequest(message);
    case 'cancellationNotice':
      return encodeCancellationNotice(message);
    case 'machineRequest':
      return encodeMachineRequest(message);
  }
}

/** Decodes a message. Returns null if this version does not understand it; unknown fields are ignored. */
export function decodePeerMessage(sent: unknown): PeerMessage | null {
  const result = v.safeParse(peerMessageSchema, sent);
  if (!result.success) return null;
  const message = result.output;
  switch (message.kind) {
    case 'news':
      return decodeAnnouncement(message);
    case 'ask':
      return decodeQuotaTransferRequest(message);
    case 'cancelled':
      return decodeCancellationNotice(message);
    case 'machines':
      return decodeMachineRequest(message);
  }
}
