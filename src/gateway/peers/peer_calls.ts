import type { Buffer } from "node:buffer";
import type { Timestamp } from "../../core/time.ts";
import type { GatewayBoard } from "../gateway_board.ts";
import type { GetResponse } from "../plain_http.ts";
import { encodeServing } from "../serving/serving_json.ts";
import { SERVING_PATH, TABLE_PATH } from "../store/store_caller.ts";
import { EncodedTable } from "../upstreams/table_message.ts";

/** Answers the calls of other daemons that fetch what this one has read from the store. */
export class PeerCalls {
  readonly #board: GatewayBoard;
  readonly #table = EncodedTable.create();

  private constructor(board: GatewayBoard) {
    this.#board = board;
  }

  static create(board: GatewayBoard): PeerCalls {
    return new PeerCalls(board);
  }

  /** The response to a GET request; undefined where there is nothing at its path. */
  answer(url: URL, now: Timestamp): GetResponse | undefined {
    const body = this.#bodyOf(url.pathname, now);
    if (body === undefined) return undefined;
    return { status: 200, body, contentType: "application/octet-stream" };
  }

  #bodyOf(path: string, now: Timestamp): Buffer | undefined {
    const { routes } = this.#board.serving;
    if (path === TABLE_PATH) return this.#table.bytes(this.#board, now);
    if (path !== SERVING_PATH || routes === undefined) return undefined;
    return encodeServing(routes.serving);
  }
}
