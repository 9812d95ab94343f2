import type { Millis, Timestamp } from "../../core/time.ts";
import type {
  JobId,
  PlacementRequest,
  PoolGrant,
} from "../../scheduling/pool/pool_job.ts";
import type { ExchangePort, ExchangeRequest } from "./exchange_port.ts";
import type { AttemptFailure } from "./retry_policy.ts";
import type { Backend } from "../serving/serving_config.ts";
import type { UpstreamId } from "../../core/id.ts";
import type { UpstreamClosure } from "../upstreams/self_reported_closures.ts";

const CAUSE_BY_CLOSURE = {
  gone: "upstream_leaving",
  draining: "upstream_leaving",
  evacuated: "upstream_leaving",
  backing_off: "upstream_backing_off",
  uncounted: "upstream_rate_limited",
} as const;

/** Margin for sending the final response to the client before its deadline. */
const RESPONSE_MARGIN_MS: Millis = 20;

/** Deadline of the final response: the route's time-out or the client's deadline, whichever is earlier. */
export function deadlineOf(
  arrivedAt: Timestamp,
  options: Readonly<{ timeoutMs: Millis; leftMs?: Millis }>,
): Timestamp {
  const left = options.leftMs ?? Infinity;
  return arrivedAt +
    Math.min(options.timeoutMs, left - RESPONSE_MARGIN_MS) as Timestamp;
}

/** Chooses one of a route's services in proportion to their weights, by a random `fraction` in [0, 1). */
export function chooseBackend(
  backends: readonly Backend[],
  fraction: number,
): Backend {
  const total = backends.reduce((sum, backend) => sum + backend.weight, 0);
  let remaining = fraction * total;
  for (const backend of backends) {
    remaining -= backend.weight;
    if (remaining < 0) return backend;
  }
  return backends[backends.length - 1]!;
}

/** The engines that prefill a part, with the ticket where memory is reserved. */
export function helpersOf(grant: PoolGrant, ticket: string | undefined) {
  const held = new Set(grant.job.tickets.map((ticket) => ticket.upstream));
  return grant.job.helpers.flatMap((id) => {
    const address = grant.addresses[id];
    if (address === undefined) return [];
    return [held.has(id) ? { address, ticket } : { address }];
  });
}

/** The failure of an attempt that was abandoned before a byte was sent. */
export function notSent(
  cause: AttemptFailure["cause"],
  detail: string,
): AttemptFailure {
  return { cause, verdict: "not_run", detail, upstreamAtFault: false };
}

/** The failure of an attempt whose upstream is closed to new requests. */
export function notOpen(
  upstream: UpstreamId,
  closure: UpstreamClosure,
  now: Timestamp,
): AttemptFailure {
  const cause = CAUSE_BY_CLOSURE[closure.reason];
  const ageMs = Math.round(now - closure.knownAt);
  return notSent(
    cause,
    `${upstream} is ${closure.reason}, known for ${ageMs} ms`,
  );
}

/** Builds the placement request for one attempt. */
export function placementRequestOf(
  req: ExchangeRequest,
  self: ExchangePort["self"],
  attempt: Readonly<{
    job: JobId;
    backend: Backend;
    leftMs: Millis;
    avoid: PlacementRequest["avoid"];
    closed: PlacementRequest["closed"];
  }>,
): PlacementRequest {
  const { head, admitted, digest } = req;
  const { route, team } = admitted;
  return {
    job: attempt.job,
    req: head.id,
    vm: self.vm,
    domain: self.domain,
    service: attempt.backend.service,
    team: team?.id,
    kind: route.kind === "stream" ? "prompt" : "call",
    promptTokens: head.promptTokens,
    answerTokens: head.answerTokens,
    targetMs: route.targetMs,
    pauseMs: route.pauseMs,
    leftMs: attempt.leftMs,
    rank: team?.rank ?? route.rank,
    digest,
    sharedParts: head.sharedParts,
    leadingParts: head.leadingParts,
    avoid: attempt.avoid,
    closed: attempt.closed,
  };
}

/** Records when the data of a response arrived. */
export class ResponseTimer {
  #firstMs: Millis = 0;
  #lastAt = 0 as Timestamp;
  #longestPauseMs: Millis = 0;

  static create(): ResponseTimer {
    return new ResponseTimer();
  }

  /** Time from the request's arrival to the first data; 0 before it. */
  get firstMs(): Millis {
    return this.#firstMs;
  }

  get longestPauseMs(): Millis {
    return this.#longestPauseMs;
  }

  /** Records an arrival of data. */
  record(now: Timestamp, arrivedAt: Timestamp): void {
    if (this.#firstMs === 0) this.#firstMs = now - arrivedAt;
    else {
      const pauseMs = now - this.#lastAt;
      this.#longestPauseMs = Math.max(this.#longestPauseMs, pauseMs);
    }
    this.#lastAt = now;
  }
}
