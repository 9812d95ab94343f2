import type { Upstream } from "../board/upstreams_section.ts";
import type { UpstreamId } from "../core/id.ts";
import { type Millis, SECOND_MS } from "../core/time.ts";

/** Largest lag of an engine's last response behind the newest of any engine; two intervals of load reports. */
const MAX_RESPONSE_LAG_MS: Millis = SECOND_MS;

/**
 * Returns the engines that have stopped responding while others respond. All are polled in the same rounds, so a
 * daemon that was suspended or polls rarely finds none.
 * Without this check a frozen engine attracts prompts: its last report stays low.
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
