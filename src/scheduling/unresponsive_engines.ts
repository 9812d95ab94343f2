import type { Upstream } from "../board/upstreams_section.ts";
import type { UpstreamId } from "../core/id.ts";
import { type Millis, SECOND_MS } from "../core/time.ts";

/** How far an engine's last answer may lie behind the newest one of any engine; two intervals of load reports. */
const MAX_RESPONSE_LAG_MS: Millis = SECOND_MS;

/**
 * Names engines that have stopped answering while others answer. All are asked in the same rounds, so that a daemon
 * that was paused, or asks rarely, finds none.
 * Load pattern: an engine freezes, and its load looks low because nothing reports more.
 */
export function unresponsiveEngines(
  upstreams: Iterable<Upstream>,
): ReadonlySet<UpstreamId> {
  const responses = new Map<UpstreamId, number>();
  for (const { id, kind, lastResponseAt: at } of upstreams) {
    if (kind === "engine" && at !== undefined) responses.set(id, at);
  }
  const newest = Math.max(...responses.values());
  const unresponsive = [...responses].filter(([, at]) =>
    newest - at > MAX_RESPONSE_LAG_MS
  );
  return new Set(unresponsive.map(([id]) => id));
}
