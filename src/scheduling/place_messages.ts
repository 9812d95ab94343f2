import { Buffer } from "node:buffer";
import type {
  AdapterId,
  DaemonId,
  Digest,
  ModelId,
  PlanId,
  RequestId,
  TeamId,
  UpstreamId,
  VersionId,
} from "../core/id.ts";
import type { Placement } from "../core/request.ts";
import { type Problem, problem } from "../core/problem.ts";
import { type Refusal, REFUSALS } from "../core/reason.ts";
import { addMs, type Timestamp } from "../core/time.ts";
import type { PlaceAsk, PlaceGrant, PlaceRefusal } from "../gen/peer.ts";
import type { CellPlacementRequest } from "./cell_placement.ts";

const BLOCK_BYTES = 8;
const BLOCK_HEX_DIGITS = 2 * BLOCK_BYTES;
/** Leading blocks in a PlaceAsk message; longer shared prefixes are rare. */
const MAX_ASK_BLOCKS = 256;

/** Returns the leading block digests of a prompt, shortened to the form in PlaceAsk messages. */
export function askBlocks(blocks: readonly Digest[]): readonly Digest[] {
  return blocks.slice(0, MAX_ASK_BLOCKS).map(shortDigest);
}

/** Shortens a digest to its first 8 bytes, the form in PlaceAsk messages. */
export function shortDigest(block: Digest): Digest {
  return block.slice(0, BLOCK_HEX_DIGITS) as Digest;
}

/** Encodes a placement request; times are sent as durations, because the clocks of daemons differ. */
export function toPlaceAsk(
  ask: CellPlacementRequest,
  now: Timestamp,
): PlaceAsk {
  return {
    request: ask.request,
    team: ask.team,
    model: ask.weights.model,
    version: ask.weights.version,
    adapter: ask.weights.adapter ?? "",
    promptTokens: ask.promptTokens,
    maxTokens: ask.maxTokens,
    urgency: ask.urgency,
    leftMs: Math.max(0, Math.floor(ask.deadlineAt - now)),
    waitedMs: Math.max(0, Math.floor(now - ask.arrivedAt)),
    blocks: toBlockBytes(ask.blocks),
    excluded: [...ask.excluded],
    digest: ask.digest,
    round: ask.round,
  };
}

/** Decodes a placement request that arrived at `now`. */
export function fromPlaceAsk(
  from: DaemonId,
  message: PlaceAsk,
  now: Timestamp,
): CellPlacementRequest {
  const { model, version, adapter } = message;
  return {
    request: message.request as RequestId,
    round: message.round,
    from,
    team: message.team as TeamId,
    weights: {
      model: model as ModelId,
      version: version as VersionId,
      adapter: adapter === "" ? undefined : adapter as AdapterId,
    },
    promptTokens: message.promptTokens,
    maxTokens: message.maxTokens,
    urgency: message.urgency,
    arrivedAt: addMs(now, -message.waitedMs),
    deadlineAt: addMs(now, message.leftMs),
    digest: message.digest as Digest,
    blocks: readBlocks(message.blocks),
    excluded: message.excluded as UpstreamId[],
    suspect: message.excluded.length > 0,
  };
}

/** Encodes a granted placement. */
export function toPlaceGrant(
  ask: CellPlacementRequest,
  placement: Placement,
): PlaceGrant {
  const wholePrompt = {
    upstream: placement.upstream,
    from: 0,
    to: ask.promptTokens,
  };
  return {
    request: ask.request,
    round: ask.round,
    priority: placement.priority,
    segments: [...placement.plan?.segments ?? [wholePrompt]],
  };
}

/** Decodes a grant; undefined if it names no engine. */
export function fromPlaceGrant(message: PlaceGrant): Placement | undefined {
  const segments = message.segments.map((segment) => ({
    upstream: segment.upstream as UpstreamId,
    from: segment.from,
    to: segment.to,
  }));
  const last = segments.at(-1);
  if (last === undefined) return undefined;
  const placement = { upstream: last.upstream, priority: message.priority };
  if (segments.length === 1) return placement;
  const id = planId(message.request as RequestId, message.round);
  return { ...placement, plan: { id, segments } };
}

/** Returns the id of the plan of one round of a request. */
export function planId(request: RequestId, round: number): PlanId {
  return `${request}-${round}` as PlanId;
}

/** Encodes a refusal. */
export function toPlaceRefusal(
  ask: CellPlacementRequest,
  cause: Problem,
): PlaceRefusal {
  return {
    request: ask.request,
    round: ask.round,
    code: cause.code,
    detail: cause.detail,
    retryAfterMs: cause.retryAfterMs ?? 0,
  };
}

/** Decodes a refusal; an unknown code becomes `no_upstream`. */
export function fromPlaceRefusal(message: PlaceRefusal): Problem {
  const code = message.code in REFUSALS
    ? message.code as Refusal
    : "no_upstream";
  return problem(code, message.detail, {
    retryAfterMs: message.retryAfterMs === 0 ? undefined : message.retryAfterMs,
  });
}

function toBlockBytes(blocks: readonly Digest[]): Buffer {
  return Buffer.from(blocks.join(""), "hex");
}

/** Optional field of a report with the blocks of its prompt, absent where there are none. */
export function blocksField(
  blocks: readonly Digest[] = [],
): Readonly<{ blocks?: Buffer }> {
  return blocks.length === 0 ? {} : { blocks: toBlockBytes(blocks) };
}

/** Decodes shortened block digests. */
export function readBlocks(bytes: Buffer): readonly Digest[] {
  const hex = bytes.toString("hex");
  const count = Math.min(
    MAX_ASK_BLOCKS,
    Math.floor(bytes.length / BLOCK_BYTES),
  );
  return Array.from(
    { length: count },
    (_, i) =>
      hex.slice(i * BLOCK_HEX_DIGITS, (i + 1) * BLOCK_HEX_DIGITS) as Digest,
  );
}
