import type { TeamId } from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import type { PoolDecision } from "../../scheduling/pool/pool_decision.ts";
import { partListFields } from "../../suspects/suspect_key.ts";
import type { GatewayBoard } from "../gateway_board.ts";

/** Fields of the line of a decision. */
type LineFields = Readonly<Record<string, string | number | boolean>>;

/** Log fields of a placement decision: its inputs, their age, and what was decided. */
export function placeLineOf(
  board: GatewayBoard,
  decision: PoolDecision,
  now: Timestamp,
): LineFields {
  const { ask, result } = decision;
  const { register, pool, self } = board;
  return {
    req: ask.req,
    by: self.card.vm,
    for: ask.vm,
    tokens: ask.promptTokens,
    ...partListFields(ask.sharedParts),
    left_ms: Math.round(ask.leftMs),
    age_ms: Math.round(now - register.asOf),
    ...(ask.closed.length > 0 ? { closed: ask.closed.length } : {}),
    waiting: pool.scheduler.queueLength,
    ...roomFields(board, decision, now),
    ...(result.isOk()
      ? {
        upstream: result.value.job.upstream,
        ...(result.value.counted === true
          ? { rate_share: rounded(pool.scheduler.rates.fraction) }
          : {}),
        helpers: result.value.job.helpers.length,
        tickets: result.value.job.tickets.length,
        expect_ms: Math.round(result.value.expectMs),
        ...(result.value.savedMs === undefined
          ? {}
          : { saved_ms: Math.round(result.value.savedMs) }),
      }
      : { refused: result.error.code, ...shortageFields(decision) }),
  };
}

/** The team's part of the engine time, on what terms the prompt was decided, and what its caller is told. */
function roomFields(
  board: GatewayBoard,
  { ask, terms, told }: PoolDecision,
  now: Timestamp,
): LineFields {
  if (terms === undefined) return {};
  return {
    ...(ask.team === undefined ? {} : {
      team: ask.team,
      share_factor: rounded(terms.factor),
    }),
    ...(terms.isDue ? { due: true } : {}),
    ...(terms.waitedMs > 0 ? { waited_ms: Math.round(terms.waitedMs) } : {}),
    ...(told === undefined ? {} : {
      team_part: teamPart(board, ask.team, now),
      told_ms: Math.round(told.inMs),
      booked: told.booked,
    }),
  };
}

/** Which room is short, and when the first event would come. */
function shortageFields({ shortage }: PoolDecision): LineFields {
  if (shortage === undefined) return {};
  const { room, expectMs } = shortage;
  return { room, expect_ms: Math.round(expectMs) };
}

function teamPart(
  board: GatewayBoard,
  team: TeamId | undefined,
  now: Timestamp,
): number {
  const parts = board.pool.scheduler.rooms.teamParts(now);
  return team === undefined ? 0 : rounded(parts.get(team) ?? 0);
}

function rounded(value: number): number {
  return Number(value.toFixed(3));
}
