import { Buffer } from "node:buffer";
import type {
  ClassId,
  Digest,
  IdempotencyKey,
  RequestId,
  ServiceId,
  TeamId,
} from "../core/id.ts";
import type { Event } from "../core/event.ts";
import type { Intent } from "../core/intent.ts";
import type { Problem } from "../core/problem.ts";
import { problemStatus } from "../core/problem.ts";
import type { CallRequest } from "../core/request.ts";
import { addMs, type Timestamp } from "../core/time.ts";
import type { Verdict } from "../core/verdict.ts";
import type { CallForward, CallReply } from "../gen/peer.ts";
import { PROBLEM_TYPE, problemBody } from "../http/problem_body.ts";
import type { PeerClients } from "../peer/peer_clients.ts";
import type { CallExchange, ExchangeTable } from "./exchange.ts";

/** Adapters and state that the forwarder uses. */
export type CallForwarderDeps = Readonly<{
  peers: Pick<PeerClients, "runCall">;
  exchanges: ExchangeTable;
  now: () => Timestamp;
  uuid: () => string;
  post: (event: Event) => void;
}>;

/** Forwards calls to the daemons that issued their idempotency keys, and runs calls that other daemons forward to this one. */
export class CallForwarder {
  readonly #deps: CallForwarderDeps;

  private constructor(deps: CallForwarderDeps) {
    this.#deps = deps;
  }

  static create(deps: CallForwarderDeps): CallForwarder {
    return new CallForwarder(deps);
  }

  /** Relays the home daemon's response to the client; without a response it is unknown whether the call ran. */
  async send(intent: Extract<Intent, { type: "forward_call" }>): Promise<void> {
    const { exchanges, peers, now, post } = this.#deps;
    const { req, address, deadlineAt } = intent;
    const exchange = exchanges.get(req);
    if (exchange?.kind !== "call") return;
    const leftMs = Math.max(1, deadlineAt - now());
    const reply = await peers.runCall(address, toForward(exchange, leftMs));
    if (reply.isErr()) {
      return post({ type: "forward_ended", req, result: "failed" });
    }
    if (exchanges.delete(req)) finish(exchange, reply.value);
    post({ type: "forward_ended", req, result: "answered" });
  }

  /** Runs a forwarded call whose idempotency key this daemon issued. */
  run(call: CallForward): Promise<CallReply> {
    const { exchanges, post } = this.#deps;
    const req = this.#createRequest(call);
    return new Promise((resolve) => {
      exchanges.set(req.id, {
        kind: "call",
        req,
        contentType: call.contentType,
        body: call.body,
        finish: (response) =>
          resolve({
            ...response,
            body: Buffer.from(response.body),
            verdict: "ran",
          }),
        fail: (err) => resolve(problemReply(err)),
      });
      post({ type: "request_arrived", req });
    });
  }

  #createRequest(call: CallForward): CallRequest {
    const { now, uuid } = this.#deps;
    const arrivedAt = now();
    return {
      kind: "call",
      id: uuid() as RequestId,
      team: call.team as TeamId,
      classId: call.classId as ClassId,
      arrivedAt,
      deadlineAt: addMs(arrivedAt, call.leftMs),
      digest: call.digest as Digest,
      service: call.service as ServiceId,
      method: call.method,
      path: call.path,
      key: call.key as IdempotencyKey,
      forwarded: true,
    };
  }
}

function toForward(exchange: CallExchange, leftMs: number): CallForward {
  const { req, contentType, body } = exchange;
  return {
    request: req.id,
    team: req.team,
    classId: req.classId,
    service: req.service,
    method: req.method,
    path: req.path,
    key: req.key ?? "",
    leftMs,
    contentType: contentType ?? "",
    body: Buffer.from(body),
    digest: req.digest,
  };
}

function problemReply(err: Problem): CallReply {
  const body = Buffer.from(problemBody(err));
  return {
    status: problemStatus(err),
    contentType: PROBLEM_TYPE,
    body,
    verdict: err.verdict,
  };
}

function finish(exchange: CallExchange, reply: CallReply): void {
  const { status, contentType, body } = reply;
  exchange.finish({ status, contentType, body }, reply.verdict as Verdict);
}
