import type { Upstream } from "../board/upstreams_section.ts";
import type { UpstreamId } from "../core/id.ts";
import { type Millis, SECOND_MS } from "../core/time.ts";

/** How far an engine's last answer may lie behind the newest one of any engine; two intervals of load reports. */
const QUIET_MS: Millis = SECOND_MS;

/**
 * Names engines that have stopped answering while others answer. All are asked in the same rounds, so that a daemon
 * that was paused, or asks rarely, finds none.
 * Load pattern: an engine freezes, and its load looks low because nothing reports more.
 */
export function quietEngines(
  upstreams: Iterable<Upstream>,
): ReadonlySet<UpstreamId> {
  const heard = new Map<UpstreamId, number>();
  for (const { id, kind, heardAt } of upstreams) {
    if (kind === "engine" && heardAt !== undefined) heard.set(id, heardAt);
  }
  const newest = Math.max(...heard.values());
  const quiet = [...heard].filter(([, at]) => newest - at > QUIET_MS);
  return new Set(quiet.map(([id]) => id));
}
