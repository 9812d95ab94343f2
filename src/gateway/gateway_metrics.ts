import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { type Refusal, REFUSALS, RetrySchema } from "../core/reason.ts";
import type { Retry } from "../core/reason.ts";
import type { Millis, Timestamp } from "../core/time.ts";
import type { ServiceRooms } from "../scheduling/pool/service_rooms.ts";
import { RoomMetrics } from "./room_metrics.ts";

/** Lower bounds of the prompt size bands, in tokens. */
const PROMPT_BAND_BOUNDS_TOKENS = [0, 8_000, 32_000, 128_000, 300_000] as const;
/** Upper bounds of the buckets of the latency histograms. */
const LATENCY_BUCKETS_MS = [
  25,
  50,
  100,
  200,
  300,
  500,
  1_000,
  2_000,
  4_000,
  10_000,
];

/** Counters and latency histograms of one daemon, in the text format of Prometheus. */
export class GatewayMetrics {
  readonly #registry = new Registry();
  readonly #requests: Counter<"outcome">;
  readonly #problems: Counter<"code" | "verdict">;
  readonly #retries: Counter<"cause">;
  readonly #storeCalls: Counter<"call" | "outcome">;
  readonly #events: Counter<"kind">;
  readonly #sentBytes: Counter<"type">;
  readonly #placementMs: Histogram<"band">;
  readonly #firstEventMs: Histogram<"band">;
  readonly #answerMs: Histogram<"band">;
  readonly #gauges: Gauge<"name">;
  readonly #rooms: RoomMetrics;

  private constructor() {
    const registers = [this.#registry];
    this.#requests = new Counter({
      name: "parsleyfield_requests_total",
      help: "Finished requests by outcome",
      labelNames: ["outcome"],
      registers,
    });
    this.#problems = new Counter({
      name: "parsleyfield_problems_total",
      help: "Refused and failed requests by reason and verdict",
      labelNames: ["code", "verdict"],
      registers,
    });
    this.#retries = new Counter({
      name: "parsleyfield_retries_total",
      help: "Retries of requests by cause",
      labelNames: ["cause"],
      registers,
    });
    this.#storeCalls = new Counter({
      name: "parsleyfield_store_calls_total",
      help: "Calls to the platform's store by call and outcome",
      labelNames: ["call", "outcome"],
      registers,
    });
    this.#events = new Counter({
      name: "parsleyfield_events_total",
      help: "Logged events by kind",
      labelNames: ["kind"],
      registers,
    });
    this.#sentBytes = new Counter({
      name: "parsleyfield_peer_bytes_total",
      help: "Bytes sent to other daemons by type of message",
      labelNames: ["type"],
      registers,
    });
    const latency = (name: string, help: string) =>
      new Histogram({
        name,
        help,
        labelNames: ["band"],
        buckets: LATENCY_BUCKETS_MS,
        registers,
      });
    this.#placementMs = latency(
      "parsleyfield_place_ms",
      "Time until a request was placed, in ms",
    );
    this.#firstEventMs = latency(
      "parsleyfield_first_event_ms",
      "Time to the first event or answer, in ms",
    );
    this.#answerMs = latency(
      "parsleyfield_answer_ms",
      "Time to the whole answer, in ms",
    );
    this.#gauges = new Gauge({
      name: "parsleyfield_state",
      help: "Ages (ms) and counts of the daemon's state by name",
      labelNames: ["name"],
      registers,
    });
    this.#rooms = RoomMetrics.create(this.#registry);
    for (const code of Object.keys(REFUSALS) as Refusal[]) {
      this.#problems.inc({ code, verdict: "not_run" }, 0);
    }
    for (const cause of RetrySchema.options) this.#retries.inc({ cause }, 0);
  }

  static create(): GatewayMetrics {
    return new GatewayMetrics();
  }

  requestEnded(outcome: "answered" | "failed" | "left"): void {
    this.#requests.inc({ outcome });
  }

  problem(code: Refusal, verdict: string): void {
    this.#problems.inc({ code, verdict });
  }

  retried(cause: Retry): void {
    this.#retries.inc({ cause });
  }

  storeCall(call: string, outcome: string): void {
    this.#storeCalls.inc({ call, outcome });
  }

  event(kind: string): void {
    this.#events.inc({ kind });
  }

  /** Counts a message to another daemon. */
  sent(type: string, bytes: number): void {
    this.#sentBytes.inc({ type }, bytes);
  }

  placed(tokens: number, ms: Millis): void {
    this.#placementMs.observe({ band: bandOf(tokens) }, ms);
  }

  firstEvent(tokens: number, ms: Millis): void {
    this.#firstEventMs.observe({ band: bandOf(tokens) }, ms);
  }

  wholeAnswer(tokens: number, ms: Millis): void {
    this.#answerMs.observe({ band: bandOf(tokens) }, ms);
  }

  /** Sets the gauges of the daemon's state, and returns all metrics in the text format of Prometheus. */
  async render(
    gauges: Readonly<Record<string, number>>,
    room?: Readonly<{ rooms: ServiceRooms; now: Timestamp }>,
  ): Promise<string> {
    if (room !== undefined) this.#rooms.update(room.rooms, room.now);
    for (const [name, value] of Object.entries(gauges)) {
      this.#gauges.set({ name }, value);
    }
    return await this.#registry.metrics();
  }

  get contentType(): string {
    return this.#registry.contentType;
  }
}

function bandOf(tokens: number): string {
  const bound =
    PROMPT_BAND_BOUNDS_TOKENS.findLast((lower) => tokens >= lower) ?? 0;
  return tokens === 0 ? "call" : `${bound}+`;
}
