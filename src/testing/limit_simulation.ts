import type { UpstreamId } from "../core/id.ts";
import { Random } from "../core/random.ts";
import { type Millis, SECOND_MS, type Timestamp } from "../core/time.ts";
import {
  closedUpstreams,
  findGrantClosure,
} from "../gateway/upstreams/availability.ts";
import type { UpstreamAvailability } from "../gateway/requests/upstream_availability.ts";
import type { JobId } from "../scheduling/pool/pool_job.ts";
import { type FakeGateway, FakeGatewayFleet } from "./fake_gateway_fleet.ts";
import { ReplyCursor } from "./reply_cursor.ts";
import { emptyServing, upstreamEntry } from "./gateway_values.ts";
import { placementRequest } from "./pool_fixtures.ts";

const SETTLE_MS: Millis = 6_000;
const STEP_MS: Millis = 5;
const NETWORK_DELAY_MS: Millis = 1;
const RESPONSE_MS: Millis = 40;
/** Time left to each request. */
const LEFT_MS: Millis = 1_300;
/** `stableWindowMs` of the users' platform: requests that arrive before it has passed are not counted. */
const GRACE_MS: Millis = 4_000;
/** Span over which the platform counts the requests to a limited upstream, and what it allows in it. */
const WINDOW_MS: Millis = 4_000;
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;

/** Size, seed and load of a simulation. */
export type LimitSimulationOptions = Readonly<{
  daemons: number;
  upstreams: number;
  seed: number;
  /** Requests per second, over all daemons. */
  requestRate: number;
  /** Decodes the value of the header that names the limit. */
  decode: (value: string | undefined) => UpstreamAvailability;
  /** Time until a response, 40 ms by default. */
  responseMs?: Millis;
  /** How long all upstreams are cold, and the rate per second that each accepts until then. */
  cold?: Readonly<{ forMs: Millis; rate: number }>;
}>;

/** A refusal with the Retry-After that the client got. */
export type LimitRefusal = Readonly<
  { at: Timestamp; askedAt: Timestamp; retryAfterMs?: Millis }
>;

/** Clients that send calls to random daemons, and upstreams that name a limit in all their responses. */
export class LimitSimulation {
  readonly fleet: FakeGatewayFleet;
  readonly refusals: LimitRefusal[] = [];
  readonly #options: LimitSimulationOptions;
  readonly #random: Random;
  readonly #arrivals = new Map<UpstreamId, Timestamp[]>();
  readonly #replies = ReplyCursor.create();
  readonly #askedAt = new Map<JobId, Timestamp>();
  #limit: string | undefined;
  #namedAt = Infinity;
  #sent = 0;

  private constructor(options: LimitSimulationOptions) {
    this.#options = options;
    this.#random = Random.create(options.seed);
    this.fleet = FakeGatewayFleet.create(options.daemons);
    const service = {
      id: upstreamEntry("e0").service,
      maxConnections: Infinity,
      coldRate: options.cold?.rate,
    };
    const services = new Map([[service.id, service]]);
    this.fleet.publish({ ...emptyServing(1), services });
    this.fleet.time.run(SETTLE_MS);
    for (let i = 0; i < options.upstreams; i += 1) {
      const entry = upstreamEntry(`e${i}`, { coldMs: options.cold?.forMs });
      this.#arrivals.set(entry.id, []);
      this.fleet.register({ type: "entry", entry });
    }
    if (options.cold === undefined) this.fleet.time.run(SETTLE_MS);
  }

  static create(options: LimitSimulationOptions): LimitSimulation {
    return new LimitSimulation(options);
  }

  /** Sets the value that all upstreams name from now on; undefined for none. */
  nameLimit(value: string | undefined): void {
    this.#limit = value;
    this.#namedAt = this.fleet.time.now;
  }

  /** The daemon that the others follow. */
  get leader(): FakeGateway {
    const { leader } = this.fleet.gateways.at(-1)!.core.board.members;
    return this.fleet.gateways.find(({ card }) => card.vm === leader)!;
  }

  /** When requests reached an upstream. */
  arrivalsAt(upstream: UpstreamId): readonly Timestamp[] {
    return this.#arrivals.get(upstream) ?? [];
  }

  /** Requests that reached all upstreams in the last `ms`. */
  arrivedWithin(ms: Millis): number {
    const since = this.fleet.time.now - ms;
    return [...this.#arrivals.values()].flat()
      .filter((at) => at >= since).length;
  }

  /** Requests that were refused in the last `ms`. */
  refusedWithin(ms: Millis): number {
    const since = this.fleet.time.now - ms;
    return this.refusals.filter(({ at }) => at >= since).length;
  }

  /** Most requests that reached one upstream within `ms`. */
  mostWithin(ms: Millis): number {
    const counts = [...this.#arrivals.values()].flatMap((times) =>
      times.map((from) =>
        times.filter((at) => at >= from && at < from + ms).length
      )
    );
    return Math.max(0, ...counts);
  }

  /** Most requests that reached one upstream within a window of the rule, as a multiple of what it allows. */
  worstWindow(perSecond: number): number {
    const allowed = Math.floor(
      ALLOWED_FACTOR * perSecond * WINDOW_MS / SECOND_MS + ALLOWED_EXTRA,
    );
    const counted = [...this.#arrivals.values()].flatMap((times) => {
      const late = times.filter((at) => at >= this.#namedAt + GRACE_MS);
      return late.map((from) =>
        late.filter((at) => at >= from && at < from + WINDOW_MS).length
      );
    });
    return Math.max(0, ...counted) / allowed;
  }

  /** Runs the simulation for `ms`. */
  run(ms: Millis): void {
    const until = this.fleet.time.now + ms;
    const intervalMs = SECOND_MS / this.#options.requestRate;
    let nextSendAt = this.fleet.time.now as number;
    while (this.fleet.time.now < until) {
      while (this.fleet.time.now >= nextSendAt) {
        this.#send();
        nextSendAt += intervalMs * (0.5 + this.#random.next());
      }
      this.fleet.time.run(STEP_MS);
      for (const gateway of this.fleet.gateways) this.#handleReplies(gateway);
    }
  }

  #send(): void {
    const { gateways, time } = this.fleet;
    const gateway = gateways[this.#random.below(gateways.length)]!;
    if (gateway.frozen) return;
    this.#sent += 1;
    const { board } = gateway.core;
    const ask = placementRequest(`r${this.#sent}`, {
      vm: gateway.card.vm,
      kind: "call",
      promptTokens: 0,
      leftMs: LEFT_MS,
      closed: closedUpstreams(board, upstreamEntry("e0").service, time.now),
    });
    this.#askedAt.set(ask.job, time.now);
    this.fleet.step(gateway, [{ type: "place", ask }]);
  }

  #handleReplies(gateway: FakeGateway): void {
    if (gateway.frozen) return;
    const { now } = this.fleet.time;
    for (const reply of this.#replies.next(gateway)) {
      if (reply.type === "denied") {
        const { retryAfterMs } = reply.problem;
        const askedAt = this.#askedAt.get(reply.job) ?? now;
        this.refusals.push({ at: now, askedAt, retryAfterMs });
      }
      if (reply.type !== "granted") continue;
      const { id, upstream } = reply.grant.job;
      const closure = findGrantClosure(gateway.core.board, reply.grant, now);
      if (closure !== undefined) {
        this.#end(gateway, id, upstream);
        this.fleet.step(gateway, [{ type: "uncounted_grant", upstream }]);
        continue;
      }
      this.fleet.time.schedule(
        NETWORK_DELAY_MS,
        () => this.#arrive(gateway, id, upstream),
      );
    }
  }

  #arrive(gateway: FakeGateway, job: JobId, upstream: UpstreamId): void {
    this.#arrivals.get(upstream)!.push(this.fleet.time.now);
    const sentAt = this.fleet.time.now;
    const responseMs = this.#options.responseMs ?? RESPONSE_MS;
    this.fleet.time.schedule(responseMs, () => {
      const availability = this.#options.decode(this.#limit);
      this.fleet.step(gateway, [
        { type: "upstream_said", upstream, availability, sentAt },
      ]);
      this.#end(gateway, job, upstream);
    });
  }

  #end(gateway: FakeGateway, job: JobId, upstream: UpstreamId): void {
    this.fleet.step(gateway, [
      { type: "job", job, upstream, phase: "ended" },
    ]);
  }
}
