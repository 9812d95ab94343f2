import type { RequestId } from "../core/id.ts";
import type { Problem } from "../core/problem.ts";
import type { CallRequest, PromptRequest } from "../core/request.ts";
import type { PromptBody } from "../engine/engine_client.ts";
import type { ResponseWriter } from "../http/response_writer.ts";
import type { Verdict } from "../core/verdict.ts";
import type { ServiceResponse } from "../service/service_client.ts";

/** An open prompt request and the connection of its client, held outside the core. */
export type PromptExchange = Readonly<{
  kind: "prompt";
  req: PromptRequest;
  /** Absent for a resumed stream. */
  prompt?: PromptBody;
  writer: ResponseWriter;
  /** Tokens that the client had received before it resumed the stream at this daemon. */
  resumedAfter: number;
  /** Texts of the tokens that this daemon relayed to the client. */
  relayedTokens: string[];
}>;

/** An open service call and the connection of its client, held outside the core. */
export type CallExchange = Readonly<{
  kind: "call";
  req: CallRequest;
  contentType?: string;
  body: Uint8Array;
  /** Sends the client its only response. */
  finish: (response: ServiceResponse, verdict?: Verdict) => void;
  fail: (err: Problem) => void;
}>;

/** An open request whose client is connected to this daemon. */
export type Exchange = PromptExchange | CallExchange;

/** All open exchanges by request id; bounded, as admission refuses requests before the table is full. */
export type ExchangeTable = Map<RequestId, Exchange>;

/** Number of tokens of the stream that the client has received, here and before it resumed. */
export function receivedTokenCount(exchange: PromptExchange): number {
  return exchange.resumedAfter + exchange.relayedTokens.length;
}
