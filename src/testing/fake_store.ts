import type { UpstreamId, VmId } from "../core/id.ts";
import { addMs, type Millis, type Timestamp } from "../core/time.ts";
import type { GatewayEvent, StoreTopic } from "../gateway/gateway_event.ts";
import type { PeerCard } from "../gateway/peers/peer_message.ts";
import type { EvacuationChange } from "../gateway/serving/evacuated_domains.ts";
import type { ServingConfig } from "../gateway/serving/serving_config.ts";
import type { StoredList } from "../gateway/store/platform_store.ts";
import type { StoreEra } from "../gateway/store/store_position.ts";
import type { RateNotice } from "../gateway/upstreams/named_rates.ts";
import type { UpstreamChange } from "../gateway/upstreams/upstream_table.ts";
import type { ContentRecord } from "../suspects/content_record.ts";

type Write<T> = Readonly<{ at: Timestamp; value: T }>;

/** A topic of the store: what was written, in order. */
class FakeTopic<T> {
  #writes: Write<T>[] = [];

  get length(): number {
    return this.#writes.length;
  }

  get values(): readonly T[] {
    return this.#writes.map((write) => write.value);
  }

  get newest(): T | undefined {
    return this.#writes.at(-1)?.value;
  }

  write(value: T, at: Timestamp): void {
    this.#writes.push({ at, value });
  }

  /** Writes if the topic ends at the offset; returns whether it did. */
  writeAt(offset: number, value: T, at: Timestamp): boolean {
    if (offset !== this.length) return false;
    this.write(value, at);
    return true;
  }

  /** Drops what was written after `at`. */
  restore(at: Timestamp): void {
    this.#writes = this.#writes.filter((write) => write.at <= at);
  }
}

/** A topic that holds a list, which each write replaces. */
class FakeListTopic<T> extends FakeTopic<readonly T[]> {
  get list(): StoredList<T> {
    return { members: this.newest ?? [], end: this.length };
  }
}

/** The platform's store: logs that daemons read at offsets, which can be restored from an older copy of them. */
export class FakeStore {
  readonly register = new FakeTopic<UpstreamChange>();
  /** Versions of the configuration, and the operator's evacuations. */
  readonly serving = new FakeTopic<ServingConfig | EvacuationChange>();
  readonly cards = new FakeTopic<PeerCard>();
  readonly contents = new FakeListTopic<ContentRecord>();
  readonly rates = new FakeListTopic<RateNotice>();
  #era = 1 as StoreEra;

  static create(): FakeStore {
    return new FakeStore();
  }

  get era(): StoreEra {
    return this.#era;
  }

  /** Replaces all logs by a copy of them that is `ageMs` old. */
  restore(now: Timestamp, ageMs: Millis): void {
    const at = addMs(now, -ageMs);
    const { register, serving, cards, contents, rates } = this;
    for (const topic of [register, serving, cards, contents, rates]) {
      topic.restore(at);
    }
    this.#era = (this.#era + 1) as StoreEra;
  }

  /** The newest card of each daemon. */
  announced(): readonly PeerCard[] {
    const cards = new Map<VmId, PeerCard>();
    for (const card of this.cards.values) cards.set(card.vm, card);
    return [...cards.values()];
  }

  /** Entries of the register, as its newest records state them. */
  entries(): readonly UpstreamChange[] {
    const entries = new Map<UpstreamId, UpstreamChange>();
    for (const change of this.register.values) {
      if (change.type === "entry") entries.set(change.entry.id, change);
      else entries.delete(change.id);
    }
    return [...entries.values()];
  }

  /** The answer to a read from an offset, or of the whole topic; undefined where there is nothing to read yet. */
  read(topic: StoreTopic, from: number | undefined): GatewayEvent | undefined {
    const { era } = this;
    const next = this[topic].length;
    if (from !== undefined && from > next) {
      const err = { code: "expired", detail: "410", era } as const;
      return { type: "read_failed", topic, err };
    }
    if (from === next) return undefined;
    return this.answer(topic, from);
  }

  /** The answer to a read that has waited long enough, with or without records. */
  answer(topic: StoreTopic, from: number | undefined): GatewayEvent {
    const { era } = this;
    const next = this[topic].length;
    const full = from === undefined;
    if (topic === "register") {
      const changes = full ? this.entries() : this.register.values.slice(from);
      return { type: "register_read", full, changes, next, era };
    }
    const records = this.serving.values.slice(from ?? 0);
    return {
      type: "serving_read",
      serving: records.findLast((one) => "version" in one),
      evacuations: {
        full,
        changes: records.filter((one) => "evacuated" in one),
      },
      next,
      era,
    };
  }
}
