import { performance } from "node:perf_hooks";
import { ok, okAsync } from "neverthrow";
import type {
  DomainId,
  RequestId,
  ServiceId,
  TeamId,
  UpstreamId,
  VmId,
} from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import type { Dialect, RequestHead } from "../gateway/requests/dialect.ts";
import { EngineOrders } from "../gateway/requests/engine_orders.ts";
import type { LogFields } from "../gateway/event_log.ts";
import type { ExchangePort } from "../gateway/requests/exchange_port.ts";
import type { PlacementResult } from "../gateway/placement/placement_port.ts";
import type { PoolGrant } from "../scheduling/pool/pool_job.ts";
import type { UpstreamClosure } from "../gateway/upstreams/self_reported_closures.ts";
import type {
  Route,
  ServingConfig,
} from "../gateway/serving/serving_config.ts";
import { poolJob } from "./pool_fixtures.ts";
import { emptyServing } from "./gateway_values.ts";

/** Engine orders that always succeed. */
export class FakeEngineOrders extends EngineOrders {
  readonly calls: string[] = [];

  override reserve(reservation: Parameters<EngineOrders["reserve"]>[0]) {
    this.calls.push(`reserve ${reservation.ticket} ${reservation.tokens}`);
    return okAsync(undefined);
  }

  override fetchReport() {
    return okAsync({ pace: 1 });
  }

  override release(_address: string, ticket: string) {
    this.calls.push(`release ${ticket}`);
    return okAsync(undefined);
  }
}

/** Calls that a fake port has recorded. */
export type RecordedCalls = {
  readonly lines: string[];
  /** Each line with its fields. */
  readonly lineFields: LogFields[];
  readonly jobUpdates: string[];
  readonly problems: string[];
  /** Outcome of each content and the upstream that ran it, as `lost e0`. */
  readonly contentOutcomes: string[];
  /** What upstreams announced, as `e0 leaving`, `e0 back in 500` (ms) or `e0 accepts 2 a second`. */
  readonly availability: string[];
  /** Services whose retry budget was charged. */
  readonly retries: string[];
  /** Upstreams that each placement request avoids, separated by spaces. */
  readonly avoided: string[];
  /** Jobs whose placement requests were withdrawn. */
  readonly withdrawn: string[];
};

/** Handles a placement request with its reply, and the grant that it gets otherwise. */
export type FakePlacer = (
  reply: (result: PlacementResult) => void,
  grant: PoolGrant,
) => void;

/** A port with its recorded calls and a settable map of closed upstreams. */
export type FakePort = ExchangePort & {
  readonly recorded: RecordedCalls;
  readonly closures: Map<UpstreamId, UpstreamClosure>;
  /** Handles the placement requests after the first. */
  placeNext: FakePlacer;
  retriesLeft: number;
};

/** Creates a port that places requests on the given upstreams in turn. */
export function createFakePort(
  dialect: Dialect,
  addresses: readonly string[],
): FakePort {
  const recorded: RecordedCalls = {
    lines: [],
    lineFields: [],
    jobUpdates: [],
    problems: [],
    contentOutcomes: [],
    availability: [],
    retries: [],
    avoided: [],
    withdrawn: [],
  };
  const closures = new Map<UpstreamId, UpstreamClosure>();
  let placed = 0;
  const fake: FakePort = {
    recorded,
    closures,
    placeNext: (reply, grant) => queueMicrotask(() => reply(ok(grant))),
    retriesLeft: Infinity,
    dialect,
    orders: new FakeEngineOrders(),
    now: () => performance.now() as Timestamp,
    random: () => 0,
    self: { vm: "vm" as VmId, domain: "a" as DomainId },
    place: (ask, reply) => {
      const address = addresses[placed % addresses.length]!;
      const upstream = `e${placed % addresses.length}` as UpstreamId;
      placed += 1;
      recorded.avoided.push(ask.avoid.join(" "));
      const grant = {
        job: poolJob(ask.job, upstream, { kind: ask.kind, partMs: 0 }),
        addresses: { [upstream]: address },
        priority: 1,
        expectMs: 0,
      };
      if (placed > 1) return fake.placeNext(reply, grant);
      queueMicrotask(() => reply(ok(grant)));
    },
    withdraw: (job) => void recorded.withdrawn.push(job),
    updateJob: (_job, upstream, { phase, silence, content }) => {
      const what = silence === undefined ? phase : `silence ${silence}`;
      recorded.jobUpdates.push(`${upstream} ${what}`);
      if (content === undefined) return;
      const { outcome } = content;
      const lost = outcome === "disconnected" || outcome === "silent";
      recorded.contentOutcomes.push(`${lost ? "lost" : outcome} ${upstream}`);
    },
    upstreamAt: () => undefined,
    grantClosure: ({ job }) => {
      for (const upstream of [job.upstream, ...job.helpers]) {
        const closure = closures.get(upstream);
        if (closure !== undefined) return { ...closure, upstream };
      }
      return undefined;
    },
    closedUpstreams: () => [],
    reportAvailability: (upstream, { leaving, backoffMs, maxRate }) => {
      if (maxRate !== undefined) {
        recorded.availability.push(`${upstream} accepts ${maxRate} a second`);
      }
      if (leaving) recorded.availability.push(`${upstream} leaving`);
      if (backoffMs !== undefined) {
        recorded.availability.push(`${upstream} back in ${backoffMs}`);
      }
    },
    recordFirstSend: () => {},
    mayRetry: () => fake.retriesLeft > 0,
    spendRetry: (service) => {
      if (fake.retriesLeft <= 0) return false;
      fake.retriesLeft -= 1;
      return recorded.retries.push(service) > 0;
    },
    line: (kind, fields) => {
      recorded.lines.push(kind);
      recorded.lineFields.push({ kind, ...fields });
    },
    observe: {
      placed: () => {},
      firstEvent: () => {},
      completed: () => {},
      retried: () => {},
      problem: (code, verdict) => recorded.problems.push(`${code} ${verdict}`),
      ended: () => {},
    },
  };
  return fake;
}

/** A configuration with one route of each kind, and one team. */
export function servingWithRoutes(fields: Partial<Route> = {}): ServingConfig {
  const route = (name: string, kind: Route["kind"]): Route => ({
    name,
    host: "h.example",
    prefix: `/${name}/`,
    kind,
    backends: [{ service: "s" as ServiceId, weight: 1 }],
    timeoutMs: 1_000,
    targetMs: 300,
    pauseMs: 250,
    rank: 1,
    maxAttempts: 2,
    open: false,
    resumable: kind === "stream",
    ...fields,
  });
  return {
    ...emptyServing(1),
    routes: [
      route("lookup", "repeatable"),
      route("reserve", "once"),
      route("ask", "stream"),
      { ...route("public", "repeatable"), open: true },
    ],
    teams: [{ id: "makers" as TeamId, keys: ["key-1"] }],
  };
}

/** Decoded head of a call without a body. */
export function requestHead(): RequestHead {
  return {
    id: "r1" as RequestId,
    method: "GET",
    host: "h",
    path: "/p/",
    promptTokens: 0,
    answerTokens: 0,
    sharedParts: [],
    headers: ["Host", "h", "X-Request-Id", "r1"],
  };
}
