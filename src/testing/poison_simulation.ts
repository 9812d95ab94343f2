import type { ServiceId, UpstreamId } from "../core/id.ts";
import { Random } from "../core/random.ts";
import type { Millis, Timestamp } from "../core/time.ts";
import type { JobId } from "../scheduling/pool/pool_job.ts";
import { type FakeGateway, FakeGatewayFleet } from "./fake_gateway_fleet.ts";
import { ReplyCursor } from "./reply_cursor.ts";
import { emptyServing, upstreamEntry } from "./gateway_values.ts";
import { placementRequest } from "./pool_fixtures.ts";

const POISON = "poison";
const SETTLE_MS: Millis = 6_000;
const STEP_MS: Millis = 10;
/** Interval between two sends of the poison request, over all clients. */
const SEND_INTERVAL_MS: Millis = 300;
/** Time from the start of the content to the crash of its upstream. */
const CRASH_DELAY_MS: Millis = 5;
/** Time until a crashed upstream's entry is removed: three missed heartbeats. */
const ENTRY_EXPIRY_MS: Millis = 3_600;
/** Time until a crashed upstream is replaced under another id. */
const RESTART_DELAY_MS: Millis = 3_000;
/** Time after the third crash in which further sends are not counted. */
const GRACE_PERIOD_MS: Millis = 4_000;
/** Index of the third crash, which quarantines the content. */
const THIRD_CRASH_INDEX = 2;

/** Size, seed and kind of crash of a simulation. */
export type PoisonSimulationOptions = Readonly<{
  daemons: number;
  upstreams: number;
  seed: number;
  /** Whether a crashed upstream's address refuses connections rather than stays silent. */
  refusesAfterCrash?: boolean;
}>;

/** Clients that keep sending one poison request to random daemons, with upstreams that it crashes. */
export class PoisonSimulation {
  readonly fleet: FakeGatewayFleet;
  readonly #random: Random;
  /** Whether a crashed upstream's address refuses connections rather than stays silent. */
  readonly #refusesAfterCrash: boolean;
  readonly #crashedAt: Timestamp[] = [];
  readonly #grantedAt: Timestamp[] = [];
  readonly #replies = ReplyCursor.create();
  #started = 0;
  #sent = 0;

  private constructor(size: PoisonSimulationOptions) {
    this.#random = Random.create(size.seed);
    this.#refusesAfterCrash = size.refusesAfterCrash === true;
    this.fleet = FakeGatewayFleet.create(size.daemons);
    this.fleet.publish(emptyServing(1));
    for (let i = 0; i < size.upstreams; i += 1) this.#startUpstream();
    this.fleet.time.run(SETTLE_MS);
  }

  static create(size: PoisonSimulationOptions): PoisonSimulation {
    return new PoisonSimulation(size);
  }

  /** Number of upstreams that the content has crashed. */
  get crashes(): number {
    return this.#crashedAt.length;
  }

  /** Sends that an upstream received later than the grace period after the third crash. */
  get lateSends(): number {
    const third = this.#crashedAt[THIRD_CRASH_INDEX];
    if (third === undefined) return 0;
    return this.#grantedAt.filter((at) => at > third + GRACE_PERIOD_MS).length;
  }

  /** Runs the simulation for `ms`. */
  run(ms: Millis): void {
    const until = this.fleet.time.now + ms;
    let nextSendAt = this.fleet.time.now as number;
    while (this.fleet.time.now < until) {
      if (this.fleet.time.now >= nextSendAt) {
        this.send(this.#randomGateway());
        nextSendAt += SEND_INTERVAL_MS;
      }
      this.fleet.time.run(STEP_MS);
      for (const gateway of this.fleet.gateways) this.#runGranted(gateway);
    }
  }

  /** Sends the poison request to one daemon. */
  send(gateway: FakeGateway): void {
    this.#sent += 1;
    const ask = placementRequest(`${POISON}-${this.#sent}`, {
      vm: gateway.card.vm,
      kind: "call",
      promptTokens: 0,
      leftMs: 1_000,
      digest: POISON,
    });
    this.fleet.step(gateway, [{ type: "place", ask }]);
  }

  /** Crashes an upstream on which the given contents run. */
  crashBeside(contents: readonly string[]): void {
    const [upstream] = this.#openUpstreams(this.fleet.gateways[0]!);
    if (upstream === undefined) return;
    const events = contents.map((content) => ({
      type: "job",
      job: content as JobId,
      upstream,
      phase: "failed",
      content: { digest: content, outcome: "disconnected" },
    } as const));
    this.fleet.step(this.#randomGateway(), events);
    this.#crashUpstream(upstream);
  }

  #randomGateway(): FakeGateway {
    const { gateways } = this.fleet;
    return gateways[this.#random.below(gateways.length)]!;
  }

  #runGranted(gateway: FakeGateway): void {
    for (const reply of this.#replies.next(gateway)) {
      if (reply.type !== "granted") continue;
      const { id, upstream } = reply.grant.job;
      this.#grantedAt.push(this.fleet.time.now);
      this.fleet.time.schedule(CRASH_DELAY_MS, () => {
        this.#crashedAt.push(this.fleet.time.now);
        this.fleet.step(gateway, [{
          type: "job",
          job: id,
          upstream,
          phase: "failed",
          content: { digest: POISON, outcome: "disconnected" },
        }]);
        this.#crashUpstream(upstream);
      });
    }
  }

  #openUpstreams(gateway: FakeGateway): readonly UpstreamId[] {
    return gateway.core.board.register.table.open("pool" as ServiceId)
      .map((entry) => entry.id);
  }

  #startUpstream(): void {
    this.#started += 1;
    const entry = upstreamEntry(`e${this.#started}`);
    this.fleet.register({ type: "entry", entry });
  }

  #crashUpstream(id: UpstreamId): void {
    if (this.#refusesAfterCrash) this.fleet.unreachable.add(id);
    this.fleet.time.schedule(
      ENTRY_EXPIRY_MS,
      () => this.fleet.register({ type: "gone", id }),
    );
    this.fleet.time.schedule(RESTART_DELAY_MS, () => this.#startUpstream());
  }
}
