import { Buffer } from "node:buffer";
import type { Blackboard } from "../board/blackboard.ts";
import type { Timestamp } from "../core/time.ts";
import type { Heartbeat, Suspect, UpstreamUpdate } from "../gen/peer.ts";
import { blocksField } from "../scheduling/place_messages.ts";

/** State of a daemon that is not ready; peers neither list nor elect it. */
export const STARTING = "starting";
/** Maximum number of updates of each kind in a heartbeat. */
const MAX_UPDATES_PER_KIND = 16;

/** Builds the heartbeat for one peer; `withConfig` includes the text of the configuration. */
export function createHeartbeat(
  board: Blackboard,
  options: { now: Timestamp; withConfig: boolean },
): Heartbeat {
  const { self, config, members } = board;
  return {
    vm: self.vm,
    peerAddress: self.peerAddress,
    clientAddress: self.clientAddress,
    domain: self.domain,
    state: members.ready ? members.drain : STARTING,
    revision: config.revision,
    config: options.withConfig ? Buffer.from(config.text) : Buffer.alloc(0),
    configOffset: config.offset,
    running: board.requests.byId.size,
    queued: board.placement.queued,
    teams: [],
    upstreams: leavingUpstreams(board),
    suspects: [
      ...crashUpdates(board, options.now),
      ...silenceUpdates(board),
    ],
    atMs: options.now,
  };
}

function leavingUpstreams(board: Blackboard): UpstreamUpdate[] {
  return [...board.upstreams.byId.values()]
    .filter((upstream) => upstream.state === "leaving")
    .slice(-MAX_UPDATES_PER_KIND)
    .map((upstream) => ({
      upstream: upstream.id,
      incarnation: upstream.incarnation,
      state: "leaving",
    }));
}

function crashUpdates(board: Blackboard, now: Timestamp): Suspect[] {
  return [...board.quarantine.suspects]
    .flatMap(([digest, suspect]) =>
      suspect.crashes.map((crash) => {
        const [upstream = "", incarnation = ""] = crash.split("/", 2);
        const atMs = suspect.seenAt;
        const { blocks: known = [] } = suspect;
        const unanswered = board.quarantine.blocks.unanswered(known, now);
        const blocks = blocksField(unanswered);
        return {
          digest,
          upstream,
          incarnation,
          atMs,
          silent: false,
          ...blocks,
        };
      })
    )
    .slice(-MAX_UPDATES_PER_KIND);
}

/** Engines that fell silent while running content, only as observed by this daemon: relayed reports would circulate without end. */
function silenceUpdates(board: Blackboard): Suspect[] {
  return [...board.quarantine.silentRuns]
    .flatMap(([digest, runs]) =>
      runs.filter((run) => run.observedHere).map(
        ({ upstream, incarnation, blocks }) => {
          const run = { digest, upstream, incarnation, atMs: 0, silent: true };
          return { ...run, ...blocksField(blocks) };
        },
      )
    )
    .slice(-MAX_UPDATES_PER_KIND);
}
