import type { ServiceId, UpstreamId } from "../core/id.ts";
import { Random } from "../core/random.ts";
import type { Millis, Timestamp } from "../core/time.ts";
import type { JobId } from "../scheduling/pool/pool_job.ts";
import {
  emptyServing,
  entryOf,
  type FakeGateway,
  FakeGatewayFleet,
} from "./fake_gateway_fleet.ts";
import { poolAsk } from "./pool_fixtures.ts";

const POISON = "poison";
const SETTLED_MS: Millis = 6_000;
const STEP_MS: Millis = 10;
/** Time from one send of the poison request to the next one, by any client. */
const SEND_GAP_MS: Millis = 300;
/** Time in which the content crashes the upstream that runs it. */
const CRASH_MS: Millis = 5;
/** Three heartbeats of silence, after which an upstream's entry is removed. */
const LAPSE_MS: Millis = 3_600;
/** Time until a crashed upstream is back under another id. */
const BACK_MS: Millis = 3_000;
/** Time after the third crash in which further sends are not counted. */
const WINDOW_MS: Millis = 4_000;
/** Crash that tells that the content is to blame. */
const THIRD = 2;

/** How large a play is. */
export type PoisonPlaySize = Readonly<{
  daemons: number;
  upstreams: number;
  seed: number;
  /** Whether a crashed upstream's address refuses connections, rather than says nothing. */
  crashesShow?: boolean;
}>;

/** Clients that send the same poison request to any daemon again and again, before upstreams that it crashes. */
export class PoisonPlay {
  readonly fleet: FakeGatewayFleet;
  readonly #random: Random;
  /** Whether a crashed upstream's address refuses connections, rather than says nothing. */
  readonly #crashesShow: boolean;
  readonly #crashedAt: Timestamp[] = [];
  readonly #arrivedAt: Timestamp[] = [];
  readonly #read = new WeakMap<FakeGateway, number>();
  #started = 0;
  #sent = 0;

  private constructor(size: PoisonPlaySize) {
    this.#random = Random.create(size.seed);
    this.#crashesShow = size.crashesShow === true;
    this.fleet = FakeGatewayFleet.create(size.daemons);
    this.fleet.publish(emptyServing(1));
    for (let i = 0; i < size.upstreams; i += 1) this.#startUpstream();
    this.fleet.time.run(SETTLED_MS);
  }

  static create(size: PoisonPlaySize): PoisonPlay {
    return new PoisonPlay(size);
  }

  /** Upstreams that the content has crashed. */
  get crashes(): number {
    return this.#crashedAt.length;
  }

  /** Sends that reached an upstream although the content had long crashed its third one. */
  get late(): number {
    const third = this.#crashedAt[THIRD];
    if (third === undefined) return 0;
    return this.#arrivedAt.filter((at) => at > third + WINDOW_MS).length;
  }

  /** Plays on for a while. */
  run(ms: Millis): void {
    const until = this.fleet.time.now + ms;
    let sendAt = this.fleet.time.now as number;
    while (this.fleet.time.now < until) {
      if (this.fleet.time.now >= sendAt) {
        this.send(this.#draw());
        sendAt += SEND_GAP_MS;
      }
      this.fleet.time.run(STEP_MS);
      for (const gateway of this.fleet.gateways) this.#take(gateway);
    }
  }

  /** Sends the poison request to one daemon. */
  send(gateway: FakeGateway): void {
    this.#sent += 1;
    const ask = poolAsk(`${POISON}-${this.#sent}`, {
      vm: gateway.card.vm,
      kind: "call",
      promptTokens: 0,
      leftMs: 1_000,
      digest: POISON,
    });
    this.fleet.step(gateway, [{ type: "place", ask }]);
  }

  /** Ends an upstream on which other contents run. */
  crashBeside(contents: readonly string[]): void {
    const [upstream] = this.#open(this.fleet.gateways[0]!);
    if (upstream === undefined) return;
    const events = contents.map((content) => ({
      type: "job",
      job: content as JobId,
      upstream,
      phase: "failed",
      content: { digest: content, outcome: "disconnected" },
    } as const));
    this.fleet.step(this.#draw(), events);
    this.#endUpstream(upstream);
  }

  #draw(): FakeGateway {
    const { gateways } = this.fleet;
    return gateways[this.#random.below(gateways.length)]!;
  }

  #take(gateway: FakeGateway): void {
    const from = this.#read.get(gateway) ?? 0;
    this.#read.set(gateway, gateway.replies.length);
    for (const reply of gateway.replies.slice(from)) {
      if (reply.type !== "granted") continue;
      const { id, upstream } = reply.grant.job;
      this.#arrivedAt.push(this.fleet.time.now);
      this.fleet.time.after(CRASH_MS, () => {
        this.#crashedAt.push(this.fleet.time.now);
        this.fleet.step(gateway, [{
          type: "job",
          job: id,
          upstream,
          phase: "failed",
          content: { digest: POISON, outcome: "disconnected" },
        }]);
        this.#endUpstream(upstream);
      });
    }
  }

  #open(gateway: FakeGateway): readonly UpstreamId[] {
    return gateway.core.board.register.table.open("pool" as ServiceId)
      .map((one) => one.id);
  }

  #startUpstream(): void {
    this.#started += 1;
    const entry = entryOf(`e${this.#started}`);
    this.fleet.register({ type: "entry", entry });
  }

  #endUpstream(id: UpstreamId): void {
    if (this.#crashesShow) this.fleet.dead.add(id);
    this.fleet.time.after(
      LAPSE_MS,
      () => this.fleet.register({ type: "gone", id }),
    );
    this.fleet.time.after(BACK_MS, () => this.#startUpstream());
  }
}
