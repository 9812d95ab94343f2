import type { PeerMessage } from "../gateway/peers/peer_message.ts";

/** A message as a daemon of the last release sends or understands it: without eras, and what came with them. */
export function inLastRelease(message: PeerMessage): PeerMessage {
  if (!("progress" in message)) return message;
  const { era: _era, eraAgeMs: _eraAgeMs, ...progress } = message.progress;
  const { evacuations } = progress;
  const stripped = {
    ...message,
    progress: {
      ...progress,
      ...(evacuations === undefined ? {} : {
        evacuations: {
          offset: evacuations.offset,
          domains: evacuations.domains,
        },
      }),
    },
  };
  if (stripped.type === "heartbeat_reply") {
    const { gone: _gone, kept: _kept, ...reply } = stripped;
    return reply;
  }
  if (stripped.type !== "changes") return stripped;
  const { sinceEra: _sinceEra, snapshot: _snapshot, ...changes } = stripped;
  return changes;
}
