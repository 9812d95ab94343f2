import type { Blackboard } from "../board/blackboard.ts";
import type { DaemonId, RequestId } from "../core/id.ts";
import type { StepContext } from "../core/step_context.ts";
import type { Envelope, Suspect } from "../gen/peer.ts";
import type {
  CellPlacementRequest,
  CellPlacementResult,
} from "../scheduling/cell_placement.ts";
import { toPlaceGrant, toPlaceRefusal } from "../scheduling/place_messages.ts";

/** Sends messages about placements to other daemons. */
export class PlaceMessenger {
  #seq = 0;

  static create(): PlaceMessenger {
    return new PlaceMessenger();
  }

  /** Sends the answer to the daemon that asked for a place. */
  sendAnswer(
    board: Blackboard,
    ctx: StepContext,
    options: Readonly<
      { ask: CellPlacementRequest; answer: CellPlacementResult }
    >,
  ): void {
    const { ask, answer } = options;
    switch (answer.type) {
      case "granted": {
        const value = toPlaceGrant(ask, answer.placement);
        this.send(board, ctx, ask.from, { $case: "placeGrant", value });
        return;
      }
      case "refused": {
        const value = toPlaceRefusal(ask, answer.problem);
        this.send(board, ctx, ask.from, { $case: "placeRefusal", value });
        return;
      }
      case "queued": {
        const { request, round } = ask;
        return this.sendUpdate(board, ctx, ask.from, {
          request,
          round,
          state: "queued",
        });
      }
    }
  }

  /** Sends the new state of a prompt to the daemon that placed it or asked for its place. */
  sendUpdate(
    board: Blackboard,
    ctx: StepContext,
    to: DaemonId,
    update: Readonly<
      {
        request: RequestId;
        round: number;
        state: string;
        suspect?: Suspect;
        answered?: boolean;
      }
    >,
  ): void {
    const { suspect } = update;
    const crashed = suspect?.silent === false;
    const value = { ...update, suspect, crashed, tokens: 0 };
    this.send(board, ctx, to, { $case: "placeUpdate", value });
  }

  /** Sends one message; returns false if the daemon's address is not known. */
  send(
    board: Blackboard,
    ctx: StepContext,
    to: DaemonId,
    body: NonNullable<Envelope["body"]>,
  ): boolean {
    const address = board.members.peers.get(to)?.peerAddress;
    if (address === undefined) return false;
    this.#seq += 1;
    const envelope = { from: board.self.id, seq: this.#seq, body };
    ctx.emit({ type: "send_peer", address, envelope });
    return true;
  }
}
