import type { UpstreamId } from "../../core/id.ts";
import type { Millis } from "../../core/time.ts";
import type { PeerMessage } from "../peers/peer_message.ts";
import { entriesOf } from "./upstream_table.ts";

/** What the register or a daemon states of a process of an upstream; one that is warm has no time. */
export type ColdStatement = Readonly<
  { id: UpstreamId; startedAt: number; coldMs?: Millis }
>;

/**
 * What a message states of cold upstreams. A change of the register may name a time that is no change to the table, since
 * this daemon has not seen the upstream warm up.
 */
export function coldStatementsOf(
  message: PeerMessage,
): readonly ColdStatement[] {
  switch (message.type) {
    case "changes":
      return entriesOf(message.changes);
    case "rates":
    case "heartbeat":
    case "heartbeat_reply":
      return (message.cold ?? []).map(({ upstream, ...process }) => ({
        id: upstream,
        ...process,
      }));
    default:
      return [];
  }
}
