import type { UpstreamId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import { ContentKeeper } from "./content_keeper.ts";
import type { ContentChange } from "./content_table.ts";
import type { ContentUpdate } from "./crash_suspects.ts";
import { closureOf } from "../upstreams/availability.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import { GatewayController, type GatewayStep } from "../gateway_controller.ts";
import type { GatewayEvent } from "../gateway_event.ts";
import type { PeerMessage } from "../peers/peer_message.ts";

/** Time between questions to one upstream whose connections break. */
const ASK_SPACING_MS: Millis = 500;

/** How a job went on, here or at another daemon. */
type Progress = Pick<
  Extract<PeerMessage, { type: "progress" }>,
  "job" | "upstream" | "unreachable" | "content"
>;

/** Gathers what is known of contents that crash their upstreams, from this daemon's attempts and from other daemons. */
export class ContentController extends GatewayController {
  readonly #keeper = ContentKeeper.create();

  /** When upstreams were last asked whether they live. */
  readonly #askedAt = new Map<UpstreamId, Timestamp>();

  static create(): ContentController {
    return new ContentController();
  }

  override step(board: GatewayBoard, step: GatewayStep): void {
    const { suspects } = board.contents;
    suspects.expire(step.now);
    for (const { kind, id } of board.register.updates) {
      if (kind !== "gone" && kind !== "restarted") continue;
      this.#tell(step, suspects.upstreamGone(id, "register", step.now));
    }
    for (const event of step.events) this.#take(board, step, event);
    this.#keeper.step(board, step);
  }

  #take(board: GatewayBoard, step: GatewayStep, event: GatewayEvent): void {
    if (event.type === "job") this.#progress(board, step, event);
    if (event.type === "message") this.#hear(board, step, event.message);
    if (event.type === "inspected") this.#inspected(board, step, event);
    this.#keeper.take(event);
    if (event.type === "contents_read") {
      const { suspects } = board.contents;
      const learnt = suspects.restore(event.records ?? [], step.now);
      this.#tellLearnt(step, learnt, "store");
    }
  }

  #hear(board: GatewayBoard, step: GatewayStep, message: PeerMessage): void {
    if (message.type === "progress") this.#progress(board, step, message);
    if (message.type !== "heartbeat" && message.type !== "heartbeat_reply") {
      return;
    }
    const { from, contents } = message;
    const { suspects } = board.contents;
    const learnt = suspects.merge(contents?.records ?? [], step.now);
    this.#tellLearnt(step, learnt, from.vm);
  }

  #tellLearnt(
    step: GatewayStep,
    learnt: readonly ContentChange[],
    from: string,
  ): void {
    for (const { digest, crashes, epoch } of learnt) {
      step.line("content_learnt", { content: digest, crashes, epoch, from });
    }
  }

  #progress(board: GatewayBoard, step: GatewayStep, one: Progress): void {
    const { job, upstream, content } = one;
    const { suspects } = board.contents;
    if (content !== undefined) {
      const startedAt = board.register.table.startedAt(upstream);
      const attempt = { job, upstream, startedAt };
      const updates = suspects.report(content, attempt, step.now);
      this.#tell(step, updates);
      if (content.outcome === "disconnected" && updates.length === 0) {
        this.#inspect(board, step, upstream);
      }
    }
    if (one.unreachable === true) {
      this.#tell(
        step,
        suspects.upstreamGone(upstream, "unreachable", step.now),
      );
    }
  }

  /** Asks an upstream that broke off whether it lives: its entry lapses only after several heartbeats. */
  #inspect(board: GatewayBoard, step: GatewayStep, upstream: UpstreamId): void {
    const { members, register, self } = board;
    const entry = register.table.get(upstream);
    if (entry === undefined || members.leader !== self.card.vm) return;
    if (closureOf(board, upstream, step.now) !== undefined) return;
    const askedAt = this.#askedAt.get(upstream) ?? -Infinity;
    if (step.now - askedAt < ASK_SPACING_MS) return;
    for (const [id, at] of this.#askedAt) {
      if (step.now - at >= ASK_SPACING_MS) this.#askedAt.delete(id);
    }
    this.#askedAt.set(upstream, step.now);
    step.emit({ type: "inspect", upstream, address: entry.address });
  }

  #inspected(
    board: GatewayBoard,
    step: GatewayStep,
    event: Extract<GatewayEvent, { type: "inspected" }>,
  ): void {
    const { upstream, startedAt, unreachable } = event;
    const known = board.register.table.get(upstream)?.startedAt;
    const restarted = startedAt !== undefined && known !== undefined &&
      startedAt > known;
    if (!restarted && unreachable !== true) return;
    const evidence = restarted ? "restarted" : "unreachable";
    const { suspects } = board.contents;
    this.#tell(step, suspects.upstreamGone(upstream, evidence, step.now));
  }

  #tell(step: GatewayStep, updates: readonly ContentUpdate[]): void {
    for (const { kind, digest, crashes, ...found } of updates) {
      const { upstream, evidence, lostMsAgo } = found;
      step.line(`content_${kind}`, {
        content: digest,
        crashes,
        ...(upstream === undefined ? {} : { upstream }),
        ...(evidence === undefined ? {} : { by: evidence }),
        ...(lostMsAgo === undefined
          ? {}
          : { lost_ms_ago: Math.round(lostMsAgo) }),
      });
    }
  }
}
