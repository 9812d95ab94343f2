import type { RequestId } from "../core/id.ts";
import type { Problem } from "../core/problem.ts";
import type { CallRequest, PromptRequest } from "../core/request.ts";
import type { PromptBody } from "../engine/engine_client.ts";
import type { ResponseWriter } from "../http/response_writer.ts";
import type { Verdict } from "../core/verdict.ts";
import type { ServiceResponse } from "../service/service_client.ts";

/** A prompt and its client, outside the core. */
export type PromptExchange = Readonly<{
  kind: "prompt";
  req: PromptRequest;
  /** Absent for a resumed answer. */
  prompt?: PromptBody;
  writer: ResponseWriter;
  /** Tokens that the client had received elsewhere before it came here. */
  after: number;
  /** Text of the tokens that were passed on here. */
  answered: string[];
}>;

/** A call and its client, outside the core. */
export type CallExchange = Readonly<{
  kind: "call";
  req: CallRequest;
  contentType?: string;
  body: Uint8Array;
  /** Gives the client its one answer. */
  finish: (answer: ServiceResponse, verdict?: Verdict) => void;
  fail: (err: Problem) => void;
}>;

/** One request whose client waits here. */
export type Exchange = PromptExchange | CallExchange;

/** All open exchanges by request; bounded by admission, which refuses before it is full. */
export type ExchangeTable = Map<RequestId, Exchange>;

/** Tokens of the answer that the client has received. */
export function passedTokens(exchange: PromptExchange): number {
  return exchange.after + exchange.answered.length;
}
