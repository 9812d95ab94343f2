import type { VmId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import type { ContentSync } from "../../suspects/content_record.ts";
import type { GatewayBoard } from "../gateway_board.ts";

/**
 * Content records for a heartbeat or its reply. Leader and deputy always exchange all their records; other daemons
 * get records only while their mark differs. Returns undefined where there is nothing to send.
 */
export function contentSyncFor(
  board: GatewayBoard,
  now: Timestamp,
  recipient: Readonly<{
    /** Absent where no message of the recipient has arrived yet. */
    to?: VmId;
    /** Mark that the recipient last sent; absent where it has no quarantined contents. */
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
