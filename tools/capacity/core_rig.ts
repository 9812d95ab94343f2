import { createCore } from "../../src/controllers/create_core.ts";
import type { Core } from "../../src/core/core.ts";
import type { Event } from "../../src/core/event.ts";
import type {
  ClassId,
  DaemonId,
  Digest,
  DomainId,
  ModelId,
  Offset,
  RequestId,
  TeamId,
  UpstreamId,
  VmId,
} from "../../src/core/id.ts";
import type { Intent } from "../../src/core/intent.ts";
import { Random } from "../../src/core/random.ts";
import { rendezvous } from "../../src/core/rendezvous.ts";
import type { PromptRequest } from "../../src/core/request.ts";
import { addMs, SECOND_MS, type Timestamp } from "../../src/core/time.ts";
import { CONFIG_STREAM, KEYS_STREAM } from "../../src/fold/streams.ts";
import { Envelope } from "../../src/gen/peer.ts";
import {
  configText,
  engineState,
  engineVm,
  entryVm,
  heartbeatOf,
  loadReport,
  peerAddress,
  runId,
  START,
} from "./samples.ts";
import { changeRecord } from "./wire_costs.ts";

const CELL = "cell-0";
const READ_WAIT_MS = 4 * SECOND_MS;
const BLOCK_DIGEST_DIGITS = 64;
/** Time in which a new signing key comes into use. */
const WARM_UP_SECONDS = 20;
const SECRET = "s".repeat(32);
const LONG_MS = 3_600_000;

/** What one daemon has around it. */
export type RigSize = Readonly<{
  peers: number;
  engines: number;
  teams: number;
  /** Whether this daemon schedules the cell. */
  schedules: boolean;
}>;

/** What a daemon has sent to peers so far. */
export type Sent = Readonly<{ messages: number; bytes: number }>;

/** One real core with peers, engines and log played by fixed answers, under virtual time. */
export class CoreRig {
  readonly #size: RigSize;
  readonly #core: Core;
  readonly #peers: readonly string[];
  readonly #reads: { stream: string; from: Offset; at: number }[] = [];
  readonly #appended: Event[] = [];
  #now = START;
  #wakeAt: number | undefined;
  #seq = 0;
  #change = 0;
  #revision = -1;
  #peersRevision = -1;
  readonly #log = new Map<string, string[]>();
  #sent: Sent = { messages: 0, bytes: 0 };

  private constructor(size: RigSize) {
    this.#size = size;
    this.#peers = Array.from({ length: size.peers }, (_, i) => runId(i + 1));
    this.#core = createCore(selfOf(size, this.#peers), Random.create(1), {
      createSecret: () => SECRET,
    });
    this.#start();
  }

  static create(size: RigSize): CoreRig {
    return new CoreRig(size);
  }

  get sent(): Sent {
    return this.#sent;
  }

  get core(): Core {
    return this.#core;
  }

  /** Publishes a changed configuration, which the next read of the log brings. */
  publish(): void {
    const base = this.#revision;
    this.#change += 1;
    const value = changeRecord(this.#text(), {
      id: runId(1_000_000 + this.#change),
      base,
    });
    const stream = this.#stream(CONFIG_STREAM);
    this.#revision = stream.push(value) - 1;
  }

  /**
   * Lets one second pass, with each peer's heartbeat and each engine's reports spread over it. Reads of the log are
   * answered in its middle, so half of the peers still name the revision before.
   */
  second(): void {
    const { engines } = this.#size;
    const middle = Math.floor(this.#peers.length / 2);
    const start = this.#now;
    for (const peer of this.#peers.keys()) {
      this.#pass(addMs(start, (peer + 0.5) * SECOND_MS / this.#peers.length));
      if (peer === middle) this.#answerReads();
      this.#beat(peer);
    }
    for (let i = 0; i < engines; i += 1) this.#report(i);
    this.#pass(addMs(start, SECOND_MS));
    this.#step([]);
  }

  /** Admits prompts that stay open; the first reply of a place comes at once where this daemon schedules. */
  openRequests(count: number): void {
    for (let i = 0; i < count; i += 1) {
      this.#step([{ type: "request_arrived", req: prompt(i, this.#now) }]);
    }
  }

  /** A peer asks for places; each prompt is granted, starts and ends. */
  askPlaces(count: number, promptTokens: number): void {
    for (let i = 0; i < count; i += 1) {
      const peer = i % this.#peers.length;
      const request = runId(5_000_000 + this.#seq) as RequestId;
      this.#receive(peer, {
        $case: "placeAsk",
        value: placeAsk(request, promptTokens),
      });
      for (const state of ["first_token", "ended"]) {
        this.#receive(peer, {
          $case: "placeUpdate",
          value: update(request, state),
        });
      }
    }
  }

  /** Steps the core at each of its own wake-ups until `end`. */
  #pass(end: Timestamp): void {
    while (this.#wakeAt !== undefined && this.#wakeAt < end) {
      this.#now = Math.max(this.#now + 1, this.#wakeAt) as Timestamp;
      this.#step([]);
    }
    this.#now = Math.max(this.#now, Math.floor(end)) as Timestamp;
  }

  #start(): void {
    const { peers, engines } = this.#size;
    const vms = [
      ...Array.from({ length: peers }, (_, i) => entryVm(i + 1)),
      ...Array.from({ length: engines }, (_, i) => engineVm(i)),
    ];
    this.publish();
    this.#checkpoint();
    const id = runId(1_500_000);
    this.#stream(KEYS_STREAM)
      .push(JSON.stringify({ type: "signing_key", id, key: SECRET }));
    this.#step([{ type: "vms_listed", vms }]);
    for (let i = 0; i < WARM_UP_SECONDS; i += 1) this.second();
    this.#sent = { messages: 0, bytes: 0 };
  }

  /** Without one, every daemon would wait for its turn to write it. */
  #checkpoint(): void {
    const record = {
      type: "config_checkpoint",
      id: runId(1_500_001),
      covers: 1,
      revision: 0,
      change: runId(2),
      author: "operator@example.org",
      at: START,
      madeAt: START,
      text: this.#text(),
    };
    this.#stream(CONFIG_STREAM).push(JSON.stringify(record));
  }

  #text(): string {
    const text = configText({ models: 3, teams: this.#size.teams });
    return text.replace(
      '"entryMaxAgeMs":10000',
      `"entryMaxAgeMs":${10_000 + this.#change}`,
    );
  }

  #beat(peer: number): void {
    const value = heartbeatOf(peer + 1, this.#peersRevision);
    this.#receive(peer, { $case: "heartbeat", value });
  }

  #receive(peer: number, body: Envelope["body"]): void {
    this.#seq += 1;
    const envelope = { from: this.#peers[peer]!, seq: this.#seq, body };
    // Decoded anew, as a receiver does.
    const received = Envelope.decode(Envelope.encode(envelope).finish());
    this.#step([{ type: "peer_message", envelope: received }]);
  }

  #report(index: number): void {
    const upstream = `engine-${index}` as UpstreamId;
    this.#step([
      { type: "state_reported", upstream, state: engineState(index) },
      {
        type: "load_reported",
        upstream,
        report: loadReport(index, this.#now),
      },
    ]);
  }

  #answerReads(): void {
    this.#step(this.#appended.splice(0));
    for (const read of this.#reads.splice(0)) {
      const log = this.#stream(read.stream);
      const records = log.slice(read.from).map((value, i) => ({
        offset: (read.from + i) as Offset,
        at: this.#now,
        value,
      }));
      if (records.length === 0 && this.#now < read.at + READ_WAIT_MS) {
        this.#reads.push(read);
        continue;
      }
      const nextOffset = Math.max(read.from, log.length) as Offset;
      this.#step([{
        type: "log_read",
        stream: read.stream as never,
        records,
        nextOffset,
        endOffset: nextOffset,
      }]);
    }
    // Peers read the same log and say so with their next heartbeat.
    this.#peersRevision = this.#revision;
  }

  #step(events: readonly Event[]): void {
    const { intents, wakeAt } = this.#core.step(this.#now, events);
    this.#wakeAt = wakeAt;
    for (const intent of intents) this.#perform(intent);
  }

  #perform(intent: Intent): void {
    if (intent.type === "read_log") {
      this.#reads.push({ ...intent, at: this.#now });
    }
    if (intent.type === "append") this.#append(intent);
    if (intent.type !== "send_peer") return;
    const { messages, bytes } = this.#sent;
    const size = Envelope.encode(intent.envelope).finish().length;
    this.#sent = { messages: messages + 1, bytes: bytes + size };
  }

  /** Takes records at once, so that outboxes are empty as they are in ordinary use. */
  #append(intent: Extract<Intent, { type: "append" }>): void {
    const { stream, records } = intent;
    this.#stream(stream).push(...records.map((record) => record.body));
    this.#appended.push({
      type: "append_ended",
      stream,
      records: records.map((record) => record.id),
      result: "appended",
    });
  }

  #stream(name: string): string[] {
    const known = this.#log.get(name) ?? [];
    this.#log.set(name, known);
    return known;
  }
}

/** Bytes of the messages that one placement takes: ask, grant and two updates. */
export function placementMessages(promptTokens: number): readonly Envelope[] {
  const request = runId(1) as RequestId;
  const bodies: Envelope["body"][] = [
    { $case: "placeAsk", value: placeAsk(request, promptTokens) },
    {
      $case: "placeGrant",
      value: {
        request,
        round: 1,
        priority: 1_000_000,
        segments: [{ upstream: "engine-100", from: 0, to: promptTokens }],
      },
    },
    { $case: "placeUpdate", value: update(request, "first_token") },
    { $case: "placeUpdate", value: update(request, "ended") },
  ];
  return bodies.map((body) => ({ from: runId(2), seq: 100_000, body }));
}

function placeAsk(request: RequestId, promptTokens: number) {
  const blocks = Math.min(256, Math.ceil(promptTokens / 256));
  return {
    request,
    team: "team-0001",
    model: "assistant-0",
    version: "2026-09",
    adapter: "",
    promptTokens,
    maxTokens: 400,
    urgency: 1,
    leftMs: 60_000,
    waitedMs: 1,
    blocks: new Uint8Array(8 * blocks) as never,
    excluded: [],
    digest: `assistant-0/${"0".repeat(BLOCK_DIGEST_DIGITS)}`,
    round: 1,
  };
}

function update(request: RequestId, state: string) {
  return {
    request,
    round: 1,
    state,
    tokens: 0,
    crashed: false,
    suspect: undefined,
  };
}

function prompt(index: number, now: Timestamp): PromptRequest {
  return {
    kind: "prompt",
    id: runId(2_000_000 + index) as RequestId,
    team: "team-0000" as TeamId,
    classId: "quick" as ClassId,
    arrivedAt: now,
    deadlineAt: addMs(now, LONG_MS),
    digest: `assistant-0/${runId(index)}` as Digest,
    model: "assistant-0" as ModelId,
    promptTokens: 4_000,
    maxTokens: 400,
    blocks: [],
  };
}

/** Picks an id by which this daemon is, or is not, the cell's scheduling one. */
function selfOf(size: RigSize, peers: readonly string[]) {
  let id = "";
  for (let draw = 0; id === ""; draw += 1) {
    const candidate = runId(900_000 + draw);
    const chosen = rendezvous(CELL, [candidate, ...peers]) === candidate;
    if (chosen === size.schedules || size.peers === 0) id = candidate;
  }
  return {
    id: id as DaemonId,
    vm: "entry-0" as VmId,
    domain: "region-0-0" as DomainId,
    clientAddress: "10.3.0.0:8080",
    peerAddress: peerAddress(0),
    startedAt: START,
  };
}
