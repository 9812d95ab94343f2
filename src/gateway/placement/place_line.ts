import type { Timestamp } from "../../core/time.ts";
import type { PoolDecision } from "../../scheduling/pool/pool_scheduler.ts";
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
    ...(ask.sharedParts.length > 0 ? { parts: ask.sharedParts.join(",") } : {}),
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
      }
      : {
        refused: result.error.code,
      }),
  };
}

/** The team's part of the engine time, on what terms the prompt was decided, and what its caller is told. */
function roomFields(
  board: GatewayBoard,
  { ask, terms, told }: PoolDecision,
  now: Timestamp,
): LineFields {
  if (terms === undefined) return {};
  const { shares } = board.pool.scheduler.rooms.of(ask.service);
  return {
    ...(ask.team === undefined ? {} : {
      team: ask.team,
      team_part: rounded(shares.usedPart(ask.team, now)),
      share_factor: rounded(terms.factor),
    }),
    ...(terms.standing === "new" ? {} : { returned: terms.standing }),
    ...(told === undefined
      ? {}
      : { told_ms: Math.round(told.inMs), booked: told.booked }),
  };
}

function rounded(value: number): number {
  return Number(value.toFixed(3));
}
