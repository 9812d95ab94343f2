import type { LogFields } from "../event_log.ts";
import type { Result } from "neverthrow";
import type {
  GatewayEvent,
  GatewayIntent,
  WriteResult,
} from "../gateway_event.ts";
import type { PlatformStore, StoreError } from "./platform_store.ts";
import { decodeServing } from "../serving/serving_json.ts";
import { decodePeerMessage } from "../peers/peer_message.ts";
import { sendHttpCall } from "../plain_http.ts";
import { FETCH_TIMEOUT_MS } from "../upstreams/table_fetch.ts";

/** Path at which daemons fetch the configuration from each other. */
export const SERVING_PATH = "/serving";
/** Path at which daemons fetch the table of upstreams from each other. */
export const TABLE_PATH = "/upstreams";

/** Callbacks for the results of calls: events to the core, call counts by outcome, and log lines. */
export type StoreCallerOptions = Readonly<{
  push: (event: GatewayEvent) => void;
  count: (call: string, outcome: string) => void;
  line: (kind: string, fields: LogFields) => void;
}>;

/** Performs the core's calls to the platform's store, and its fetches of what peers have read from it. */
export class StoreCaller {
  readonly #store: PlatformStore;
  readonly #options: StoreCallerOptions;

  private constructor(store: PlatformStore, options: StoreCallerOptions) {
    this.#store = store;
    this.#options = options;
  }

  static create(
    store: PlatformStore,
    options: StoreCallerOptions,
  ): StoreCaller {
    return new StoreCaller(store, options);
  }

  /** Reads a topic of the store, and pushes the result as an event. */
  async read(intent: Extract<GatewayIntent, { type: "read" }>): Promise<void> {
    const { topic, from, waitMs } = intent;
    const { push } = this.#options;
    const options = { from, waitMs };
    const result = topic === "serving"
      ? (await this.#store.readServing(options))
        .map((batch) => push({ type: "serving_read", ...batch }))
      : (await this.#store.readRegister(options))
        .map((batch) => push({ type: "register_read", ...batch }));
    this.#count(`read_${topic}`, result.isErr() ? result.error : undefined);
    if (result.isErr()) push({ type: "read_failed", topic, err: result.error });
  }

  /** Fetches the configuration from a peer (`host:port`) that has a newer one. */
  async fetchServing(peer: string): Promise<void> {
    const { push } = this.#options;
    const result = (await sendHttpCall({
      method: "GET",
      address: peer,
      path: SERVING_PATH,
    })).mapErr((failure) => failure.detail)
      .andThen((response) => decodeServing(response.body));
    result.match(
      (serving) => push({ type: "serving_fetched", serving }),
      (detail) => push({ type: "fetch_failed", detail }),
    );
  }

  /** Fetches the table of upstreams from a peer (`host:port`); it arrives as a message of that peer. */
  async fetchTable(peer: string): Promise<void> {
    const { push } = this.#options;
    const result = (await sendHttpCall({
      method: "GET",
      address: peer,
      path: TABLE_PATH,
      timeoutMs: FETCH_TIMEOUT_MS,
    })).mapErr((failure) => failure.detail)
      .andThen((response) => decodePeerMessage(response.body));
    result.match(
      (message) => push({ type: "message", message }),
      (detail) => push({ type: "table_unfetched", detail }),
    );
  }

  async announce(
    intent: Extract<GatewayIntent, { type: "announce" }>,
  ): Promise<void> {
    const result = await this.#store.announce(intent.card);
    this.#count("announce", result.isErr() ? result.error : undefined);
  }

  async readAnnounced(): Promise<void> {
    const result = await this.#store.readAnnounced();
    this.#count("read_announced", result.isErr() ? result.error : undefined);
    if (result.isErr()) return;
    this.#options.push({ type: "announced", cards: result.value });
  }

  async keepContents(
    intent: Extract<GatewayIntent, { type: "keep_contents" }>,
  ): Promise<void> {
    const { records, write } = intent;
    const kept = await this.#store.keepContents(records, intent);
    this.#count("keep_contents", kept.isErr() ? kept.error : undefined);
    const result = writeResultOf(kept);
    this.#options.push({ type: "contents_kept", write, result });
  }

  async readContents(): Promise<void> {
    const result = await this.#store.readContents();
    this.#count("read_contents", result.isErr() ? result.error : undefined);
    const stored = result.isOk() ? result.value : undefined;
    this.#options.push({ type: "contents_read", stored });
  }

  async keepRates(
    intent: Extract<GatewayIntent, { type: "keep_rates" }>,
  ): Promise<void> {
    const { notices, write } = intent;
    const kept = await this.#store.keepRates(notices, intent);
    this.#count("keep_rates", kept.isErr() ? kept.error : undefined);
    const result = writeResultOf(kept);
    this.#options.push({ type: "rates_kept", write, result });
  }

  async readRates(): Promise<void> {
    const result = await this.#store.readRates();
    this.#count("read_rates", result.isErr() ? result.error : undefined);
    const stored = result.isOk() ? result.value : undefined;
    this.#options.push({ type: "rates_read", stored });
  }

  #count(call: string, failure: StoreError | undefined): void {
    this.#options.count(call, failure?.code ?? "ok");
    if (failure === undefined) return;
    this.#options.line("store_call_failed", { call, ...failure });
  }
}

function writeResultOf(kept: Result<void, StoreError>): WriteResult {
  return kept.match(
    () => "written",
    ({ code }) => code === "outdated" ? code : "failed",
  );
}
