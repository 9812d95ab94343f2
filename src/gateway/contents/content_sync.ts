import type { VmId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import type { ContentSync } from "./content_record.ts";
import type { GatewayBoard } from "../gateway_board.ts";

/**
 * What a heartbeat or its reply says of contents. Leader and deputy tell each other all that they know; others hear
 * of quarantined contents once what they know differs.
 */
export function contentSyncFor(
  board: GatewayBoard,
  now: Timestamp,
  recipient: Readonly<{
    /** Absent where the other one has never been heard. */
    to?: VmId;
    /** What it last said that it knows; absent for nothing. */
    mark?: string;
  }>,
): ContentSync | undefined {
  const { members, self, contents } = board;
  const { quarantineSummary: mark } = contents.suspects;
  const leads = members.leader === self.card.vm;
  const pairPartner = leads ? members.deputy : members.leader;
  const isPair = recipient.to === pairPartner &&
    (leads || members.deputy === self.card.vm);
  const sentRecords = isPair || (recipient.mark ?? "") !== mark
    ? contents.suspects.records(now)
    : [];
  const records = sentRecords.length === 0 ? undefined : sentRecords;
  return mark === "" && records === undefined ? undefined : { mark, records };
}
