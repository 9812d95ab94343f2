import type { UpstreamId } from "../../core/id.ts";
import type { Millis, Timestamp } from "../../core/time.ts";
import { QuarantinePersister } from "./quarantine_persister.ts";
import type { MergedContent } from "../../suspects/content_table.ts";
import type { SuspicionUpdate } from "./crash_suspects.ts";
import { groupParts, keyListFields } from "../../suspects/suspect_key.ts";
import { findClosure } from "../upstreams/availability.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import { GatewayController, type GatewayStep } from "../gateway_controller.ts";
import type { GatewayEvent } from "../gateway_event.ts";
import type { PeerMessage } from "../peers/peer_message.ts";

/** Time between inspections of one upstream whose connections break. */
const MIN_INSPECTION_GAP_MS: Millis = 500;

/** Progress of a job of this daemon or of another one. */
type JobProgress = Pick<
  Extract<PeerMessage, { type: "progress" }>,
  "job" | "phase" | "silence" | "upstream" | "unreachable" | "content"
>;

/** Collects evidence on contents that crash their upstreams, from this daemon's attempts and from other daemons. */
export class ContentController extends GatewayController {
  readonly #persister = QuarantinePersister.create();

  /** When upstreams were last inspected. */
  readonly #inspectedAt = new Map<UpstreamId, Timestamp>();

  static create(): ContentController {
    return new ContentController();
  }

  override step(board: GatewayBoard, step: GatewayStep): void {
    const { suspects } = board.contents;
    suspects.expire(step.now);
    for (const { kind, id } of board.register.updates) {
      if (kind !== "gone" && kind !== "restarted") continue;
      this.#logUpdates(step, suspects.processEnded(id, "register", step.now));
    }
    for (const event of step.events) this.#onEvent(board, step, event);
    this.#persister.step(board, step);
  }

  #onEvent(
    board: GatewayBoard,
    step: GatewayStep,
    event: GatewayEvent,
  ): void {
    if (event.type === "job") this.#onProgress(board, step, event);
    if (event.type === "message") this.#onMessage(board, step, event.message);
    if (event.type === "inspected") this.#onInspected(board, step, event);
    this.#persister.onEvent(event);
    if (event.type === "contents_read") {
      const { suspects } = board.contents;
      const merged = suspects.restore(
        event.stored?.members ?? [],
        step.now,
      );
      this.#logMerged(step, merged, "store");
    }
  }

  #onMessage(
    board: GatewayBoard,
    step: GatewayStep,
    message: PeerMessage,
  ): void {
    if (message.type === "progress") this.#onProgress(board, step, message);
    if (message.type !== "heartbeat" && message.type !== "heartbeat_reply") {
      return;
    }
    const { from, contents } = message;
    const { suspects } = board.contents;
    const merged = suspects.merge(contents?.records ?? [], step.now);
    this.#logMerged(step, merged, from.vm);
  }

  #logMerged(
    step: GatewayStep,
    merged: readonly MergedContent[],
    from: string,
  ): void {
    for (const { entry, keys } of groupParts(merged, "digest")) {
      const { crashes, epoch } = entry;
      const named = keyListFields(keys);
      step.line("content_learnt", { ...named, crashes, epoch, from });
    }
  }

  #onProgress(
    board: GatewayBoard,
    step: GatewayStep,
    progress: JobProgress,
  ): void {
    const { job, phase, silence, upstream, content } = progress;
    const { suspects } = board.contents;
    if (silence === "ended") suspects.silenceEnded({ job, upstream }, step.now);
    if (content === undefined) {
      const isReported = silence === "lasting";
      if (phase !== "started" && !isReported) suspects.jobEnded(job);
    } else {
      const startedAt = board.register.table.startedAt(upstream);
      const attempt = { job, upstream, startedAt };
      const updates = suspects.report(content, attempt, step.now);
      this.#logUpdates(step, updates);
      if (content.outcome === "disconnected" && updates.length === 0) {
        this.#requestInspection(board, step, upstream);
      }
    }
    if (progress.unreachable === true) {
      this.#logUpdates(
        step,
        suspects.processEnded(upstream, "unreachable", step.now),
      );
    }
  }

  /** Inspects an upstream that broke a connection, since its entry lapses only after several heartbeats. */
  #requestInspection(
    board: GatewayBoard,
    step: GatewayStep,
    upstream: UpstreamId,
  ): void {
    const { members, register, self } = board;
    const entry = register.table.get(upstream);
    if (entry === undefined || members.leader !== self.card.vm) return;
    if (findClosure(board, upstream, step.now) !== undefined) return;
    const inspectedAt = this.#inspectedAt.get(upstream) ?? -Infinity;
    if (step.now - inspectedAt < MIN_INSPECTION_GAP_MS) return;
    for (const [id, at] of this.#inspectedAt) {
      if (step.now - at >= MIN_INSPECTION_GAP_MS) this.#inspectedAt.delete(id);
    }
    this.#inspectedAt.set(upstream, step.now);
    step.emit({ type: "inspect", upstream, address: entry.address });
  }

  #onInspected(
    board: GatewayBoard,
    step: GatewayStep,
    event: Extract<GatewayEvent, { type: "inspected" }>,
  ): void {
    const { upstream, startedAt, unreachable } = event;
    const known = board.register.table.get(upstream)?.startedAt;
    const { suspects } = board.contents;
    if (startedAt !== undefined && startedAt === known) {
      suspects.upstreamAlive(upstream, step.now);
      return;
    }
    const restarted = startedAt !== undefined && known !== undefined &&
      startedAt > known;
    if (!restarted && unreachable !== true) return;
    const evidence = restarted ? "restarted" : "unreachable";
    const updates = suspects.processEnded(upstream, evidence, step.now, known);
    this.#logUpdates(step, updates);
  }

  #logUpdates(step: GatewayStep, updates: readonly SuspicionUpdate[]): void {
    for (const { entry, keys } of groupParts(updates, "key")) {
      const { kind, crashes, upstream, evidence, lostMsAgo } = entry;
      step.line(`content_${kind}`, {
        ...keyListFields(keys),
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
