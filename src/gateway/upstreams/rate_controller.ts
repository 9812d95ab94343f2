import type { UpstreamId } from "../../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../../core/time.ts";
import type { RateShare } from "../../scheduling/pool/rate_budget.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import { GatewayController, type GatewayStep } from "../gateway_controller.ts";
import type { GatewayEvent } from "../gateway_event.ts";
import {
  inMajority,
  livenessTimeoutMs,
  otherPlacers,
} from "../members/membership.ts";
import type { PeerMessage } from "../peers/peer_message.ts";
import { coldRateOf } from "./cold_rate.ts";
import { type ColdStatement, coldStatementsOf } from "./cold_statements.ts";
import { entriesOf } from "./upstream_table.ts";
import type { RateNotice } from "./named_rates.ts";
import { RatePersister } from "./rate_persister.ts";

/** Time for which the majority of the daemons leaves a part of each rate to a daemon that is down, or cut off. */
const MAJORITY_RESERVE_MS: Millis = 60_000;
/** The same for a minority, beside which the majority may use the whole rate. */
const MINORITY_RESERVE_MS: Millis = 300_000;
/** Time after its lead in which a daemon still gets the charges of the others, and may place for others. */
const PLACER_LINGER_MS: Millis = 4_000;
/** Smallest part of the daemons that uses its rate without time slots: no more than four such parts exist. */
const MIN_BUCKET_FRACTION = 0.25;

/** Time between two updates of the budgets without a change of what they depend on. */
const UPDATE_INTERVAL_MS: Millis = 50;

/** Keeps the rates that upstreams accept, and which part of them this daemon may use. */
export class RateController extends GatewayController {
  readonly #persister = RatePersister.create();
  /** Upstreams whose last response named a rate that is no number; one log line each. */
  readonly #unreadable = new Set<UpstreamId>();
  #lastPlacerAt = -Infinity as Timestamp;
  #nextUpdateAt = -Infinity as Timestamp;

  static create(): RateController {
    return new RateController();
  }

  override step(board: GatewayBoard, step: GatewayStep): void {
    const { members, self, gate, register } = board;
    const changed: UpstreamId[] = [];
    for (const event of step.events) {
      this.#persister.onEvent(event);
      changed.push(...this.#onEvent(board, step, event));
    }
    const isPlacer = [members.leader, members.deputy].includes(self.card.vm);
    if (isPlacer) this.#lastPlacerAt = step.now;
    if (register.updates.length > 0) {
      gate.rates.prune(register.table, step.now);
      for (const { id } of register.updates) {
        this.#unreadable.delete(id);
        const entry = register.table.get(id);
        if (entry !== undefined) this.#recordCold(board, step, entry);
      }
      this.#nextUpdateAt = step.now;
    }
    if (step.now >= this.#nextUpdateAt) {
      this.#nextUpdateAt = addMs(step.now, UPDATE_INTERVAL_MS);
      this.#updateBudgets(board, step.now);
      this.#persister.step(board, step);
    }
    if (changed.length > 0) this.#notifyPlacers(board, step);
  }

  #updateBudgets(board: GatewayBoard, now: Timestamp): void {
    const { gate, pool } = board;
    const { rates } = pool.scheduler;
    if (gate.rates.size + gate.cold.size + rates.size === 0) return;
    const limits = gate.cold.rates(now, (id) => coldRateOf(board, id));
    for (const [id, perSecond] of gate.rates.rates()) {
      limits.set(id, Math.min(perSecond, limits.get(id) ?? Infinity));
    }
    rates.update(limits, this.#shareOf(board, now), now);
  }

  /** Applies an event; returns the upstreams whose rate other daemons have to learn. */
  #onEvent(
    board: GatewayBoard,
    step: GatewayStep,
    event: GatewayEvent,
  ): readonly UpstreamId[] {
    switch (event.type) {
      case "upstream_said":
        return this.#onResponse(board, step, event) ? [event.upstream] : [];
      case "uncounted_grant":
        return [event.upstream];
      case "order_sent":
        this.#charge(board, step, event.upstream);
        return [];
      case "register_read":
        // The table takes a shorter cold time for one that is running out.
        return entriesOf(event.changes)
          .filter((entry) => this.#recordCold(board, step, entry))
          .map(({ id }) => id);
      case "rates_read":
        // A rate from before a restart applies until a response shows that it has ended.
        this.#mergeNotices(board, step, {
          from: "store",
          notices: (event.stored?.members ?? []).map((notice) => ({
            ...notice,
            namedAgeMs: 0,
          })),
        });
        return [];
      case "message":
        this.#onMessage(board, step, event.message);
        return [];
      default:
        return [];
    }
  }

  #onResponse(
    board: GatewayBoard,
    step: GatewayStep,
    event: Extract<GatewayEvent, { type: "upstream_said" }>,
  ): boolean {
    const { upstream, availability, sentAt } = event;
    const { rates } = board.gate;
    const startedAt = board.register.table.startedAt(upstream);
    const { maxRate, coldMs } = availability;
    const turnedCold = coldMs !== undefined &&
      this.#recordCold(board, step, { id: upstream, startedAt, coldMs });
    if (maxRate === "unreadable") {
      // An unreadable rate neither sets a limit nor ends one.
      if (!this.#unreadable.has(upstream)) {
        step.line("upstream_rate", { upstream, how: "unreadable" });
      }
      this.#unreadable.add(upstream);
      return turnedCold;
    }
    this.#unreadable.delete(upstream);
    const changed = maxRate === undefined
      ? rates.recordUnnamed(upstream, startedAt, sentAt)
      : rates.recordNamed(upstream, startedAt, {
        perSecond: maxRate,
        at: step.now,
      });
    if (changed) this.#logRate(board, step, upstream, "own");
    return changed || turnedCold;
  }

  /** Records that an upstream is cold; returns whether it is so for longer than was known. */
  #recordCold(
    board: GatewayBoard,
    step: GatewayStep,
    { id, startedAt, coldMs = 0 }: ColdStatement,
  ): boolean {
    const { gate, register } = board;
    if (startedAt < register.table.startedAt(id)) return false;
    const notice = { upstream: id, startedAt, coldMs };
    const turnedCold = gate.cold.record(notice, step.now);
    if (!turnedCold) return false;
    this.#nextUpdateAt = step.now;
    step.line("upstream_cold", {
      upstream: id,
      cold_ms: Math.round(coldMs),
      per_second: coldRateOf(board, id) ?? 0,
    });
    return true;
  }

  #onMessage(
    board: GatewayBoard,
    step: GatewayStep,
    message: PeerMessage,
  ): void {
    if (message.type === "sent") {
      const { scheduler } = board.pool;
      scheduler.rates.charge(message.upstream, step.now, message.count);
      return;
    }
    for (const statement of coldStatementsOf(message)) {
      this.#recordCold(board, step, statement);
    }
    const notices = noticesOf(message);
    if (notices === undefined) return;
    this.#mergeNotices(board, step, { from: "peer", notices });
  }

  #mergeNotices(
    board: GatewayBoard,
    step: GatewayStep,
    received: Readonly<
      { from: "peer" | "store"; notices: readonly RateNotice[] }
    >,
  ): void {
    const { from, notices } = received;
    const { table } = board.register;
    const current = notices.filter(({ upstream, startedAt }) =>
      table.startedAt(upstream) <= startedAt
    );
    for (const id of board.gate.rates.mergeNotices(current, step.now)) {
      this.#logRate(board, step, id, from);
    }
  }

  #logRate(
    board: GatewayBoard,
    step: GatewayStep,
    upstream: UpstreamId,
    from: "own" | "peer" | "store",
  ): void {
    this.#nextUpdateAt = step.now;
    const rate = board.gate.rates.get(upstream);
    step.line("upstream_rate", {
      upstream,
      from,
      ...(rate === undefined ? { how: "ended" } : {
        how: "named",
        per_second: rate.perSecond,
        age_ms: Math.round(step.now - rate.namedAt),
      }),
    });
  }

  /** Charges a message that was sent without a placement, here and at the daemons that place. */
  #charge(
    board: GatewayBoard,
    step: GatewayStep,
    upstream: UpstreamId,
  ): void {
    const { scheduler } = board.pool;
    if (!scheduler.rates.has(upstream)) return;
    scheduler.rates.charge(upstream, step.now);
    for (const vm of otherPlacers(board)) {
      const to = board.members.table.get(vm)?.peer;
      if (to === undefined) continue;
      const message = { type: "sent", upstream, count: 1 } as const;
      step.emit({ type: "send", to, message });
    }
  }

  #notifyPlacers(board: GatewayBoard, step: GatewayStep): void {
    const notices = board.gate.rates.notices(step.now);
    const cold = board.gate.cold.notices(step.now);
    if (notices === undefined && cold === undefined) return;
    const message = { type: "rates", notices: notices ?? [], cold } as const;
    for (const vm of otherPlacers(board)) {
      const to = board.members.table.get(vm)?.peer;
      if (to === undefined) continue;
      step.emit({ type: "send", to, message });
    }
  }

  /**
   * The part of each rate that this daemon may use, so that the parts of all daemons, each by what it knows, add up to
   * the whole: a daemon that places for others has the parts of those that it can reach, any other daemon its own.
   */
  #shareOf(board: GatewayBoard, now: Timestamp): RateShare {
    const { members, self } = board;
    const { table } = members;
    const live = table.live(now, livenessTimeoutMs(board)).length + 1;
    const reserveMs = inMajority(board, now)
      ? MAJORITY_RESERVE_MS
      : MINORITY_RESERVE_MS;
    const known = Math.max(
      live,
      table.seenWithin(now, reserveMs).length + 1,
      // A daemon that has met no other yet still has its seeds.
      table.all().length === 0 ? board.self.seeds.length + 1 : 1,
    );
    const isPlacer = now - this.#lastPlacerAt <= PLACER_LINGER_MS;
    const fraction = (isPlacer ? live : 1) / known;
    if (isPlacer && fraction >= MIN_BUCKET_FRACTION) {
      return { type: "placer", fraction };
    }
    return { type: "solo", daemons: 1 / fraction, self: self.card.vm };
  }
}

function noticesOf(message: PeerMessage): readonly RateNotice[] | undefined {
  switch (message.type) {
    case "rates":
      return message.notices;
    case "heartbeat":
    case "heartbeat_reply":
      return message.rates;
    default:
      return undefined;
  }
}
