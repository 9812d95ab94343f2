import type { VmId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import type { ContentShare } from "./content_record.ts";
import type { GatewayBoard } from "../gateway_board.ts";

/**
 * What a heartbeat or its reply says of contents. Leader and deputy tell each other all that they know; others hear
 * of quarantined contents once what they know differs.
 */
export function shareContents(
  board: GatewayBoard,
  now: Timestamp,
  other: Readonly<{
    /** Absent where the other one has never been heard. */
    to?: VmId;
    /** What it last said that it knows; absent for nothing. */
    mark?: string;
  }>,
): ContentShare | undefined {
  const { members, self, contents } = board;
  const { mark } = contents.suspects;
  const leads = members.leader === self.card.vm;
  const next = leads ? members.deputy : members.leader;
  const isPair = other.to === next &&
    (leads || members.deputy === self.card.vm);
  const told = isPair || (other.mark ?? "") !== mark
    ? contents.suspects.records(now)
    : [];
  const records = told.length === 0 ? undefined : told;
  return mark === "" && records === undefined ? undefined : { mark, records };
}
