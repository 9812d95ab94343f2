import type { Millis } from "../../../core/time.ts";
import { admissionLimitMs } from "../admission_limit.ts";
import type { EnginePace } from "../engine_pace.ts";
import type { PlacementRequest } from "../pool_job.ts";
import type { RoomTerms } from "../room_terms.ts";
import type { ShortRoom } from "./short_room.ts";

/** The room that is short for a refused prompt: an engine's, its class's share, its team's, the queue's, or the caller's time. */
export type ShortageRoom =
  | ShortRoom
  | "share"
  | "team_share"
  | "queue"
  | "late";

/** Why a prompt is refused: the room that is short, and when its first event would have come. */
export type Shortage = Readonly<{ room: ShortageRoom; expectMs: Millis }>;

/** Streams that a prompt may make late while there is room: refusing it makes its own caller late. */
const MAX_LATE_STREAMS = 1;

/**
 * The room that a short prompt lacks, with the best place for it; undefined if it is admitted. A prompt that failed on
 * another upstream has waited already, so it is admitted up to its caller's time-out.
 */
export function shortageOf(
  ask: PlacementRequest,
  pace: EnginePace,
  place: Readonly<{
    expectMs: Millis;
    lacks: ShortRoom | "share" | "team_share" | undefined;
    terms: RoomTerms;
    /** Whether more engine time is asked for than there is. */
    isCrest: boolean;
    lateStreams: number;
  }>,
): ShortageRoom | undefined {
  const { terms, isCrest } = place;
  const limitMs = admissionLimitMs(ask, pace, terms);
  if (place.expectMs > limitMs) return place.lacks ?? "prefill";
  if (ask.avoid.length > 0) return undefined;
  if (place.lacks === "team_share") return place.lacks;
  if (!isCrest && place.lateStreams <= MAX_LATE_STREAMS) return undefined;
  if (place.lacks !== undefined) return place.lacks;
  if (terms.isDue || !isCrest) return undefined;
  return terms.waitedMs + place.expectMs > limitMs ? "late" : undefined;
}

/** What a caller is told of a shortage. */
export function shortageDetail({ room, expectMs }: Shortage): string {
  return `No ${NAMES[room]} in time: the first event is expected in ` +
    `${Math.round(expectMs)} ms`;
}

const NAMES: Readonly<Record<ShortageRoom, string>> = {
  prefill: "prefill time",
  decode: "decode slot",
  memory: "engine memory",
  share: "share of the engines",
  team_share: "share of the team",
  queue: "place in the queue",
  late: "time left",
};
