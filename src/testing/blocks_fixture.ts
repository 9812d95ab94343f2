import type { Event } from "../core/event.ts";
import type {
  DaemonId,
  Digest,
  ModelId,
  RequestId,
  UpstreamId,
  VersionId,
} from "../core/id.ts";
import { addMs, MINUTE_MS } from "../core/time.ts";
import { PlacementController } from "../controllers/placement_controller.ts";
import { QuarantineController } from "../controllers/quarantine_controller.ts";
import { RequestController } from "../controllers/request_controller.ts";
import { sha256 } from "../daemon/sha256.ts";
import type { Envelope, Suspect } from "../gen/peer.ts";
import { blocksField, toPlaceAsk } from "../scheduling/place_messages.ts";
import {
  CoreFixture,
  engineFixture,
  intentsOf,
  peerFixture,
  promptFixture,
} from "./fixtures.ts";

/** Letter of the block that crashes engines. */
const DEADLY = "d";

/** A daemon whose engines crash over each prompt with the block `d`, and are replaced. */
export class BlocksFixture {
  readonly core = CoreFixture.create([
    QuarantineController.create(),
    PlacementController.create(),
    RequestController.create(),
  ]);
  /** Engines lost. */
  lost = 0;
  /** Attempts started. */
  attempts = 0;
  #prompts = 0;
  readonly #refusals = new Map<RequestId, string>();

  constructor() {
    this.core.add(...["e1", "e2", "e3", "e4"].map((id) => engineFixture(id)));
  }

  /** Sends a prompt and returns its id; its blocks are named by single letters, such as `cd`. */
  send(letters: string, promptTokens = 1_000, digest?: Digest): RequestId {
    this.#prompts += 1;
    const id = `${letters}-${this.#prompts}`;
    const deadlineAt = addMs(this.core.now, 10 * MINUTE_MS);
    const blocks = blocksOf(letters);
    const prompt = { blocks, deadlineAt, promptTokens };
    const req = promptFixture(id, {
      ...prompt,
      ...digest === undefined ? {} : { digest },
    });
    this.#after(10, { type: "request_arrived", req });
    return id as RequestId;
  }

  /** Ends the running attempt of a prompt: with a crash if it has the deadly block, otherwise with its answer. */
  finish(req: RequestId): void {
    const attempt = this.core.board.requests.byId.get(req)!.attempt!;
    const isDeadly = req.split("-")[0]!.includes(DEADLY);
    if (isDeadly) return this.crash(attempt.placement.upstream);
    const outcome = { type: "ok", tokens: 1, status: 200 } as const;
    const { id } = attempt;
    this.#after(10, {
      type: "attempt_ended",
      req,
      attempt: id,
      outcome,
    });
  }

  /** The client of a prompt goes away. */
  leave(req: RequestId): void {
    this.#after(10, { type: "client_left", req });
  }

  /** Another daemon places the prompts of this one. */
  followPeer(): void {
    const { members } = this.core.board;
    members.peers.set(PEER, peerFixture(PEER, this.core.now));
    members.scheduler = PEER;
  }

  /** Grants an engine as another daemon that places prompts does. */
  grant(request: RequestId, round: number, upstream: string): void {
    const segments = [{ upstream, from: 0, to: 1_000 }];
    const value = { request, round, priority: 5, segments };
    this.receive({ $case: "placeGrant", value });
  }

  /** Places a prompt of another daemon. */
  placeForPeer(
    id: string,
    options: Readonly<{ digest?: Digest; blocks?: readonly Digest[] }> = {},
  ): void {
    const ask = {
      ...promptFixture(id, options),
      request: id as RequestId,
      round: 1,
      from: PEER,
      weights: { model: "sage" as ModelId, version: "2" as VersionId },
      urgency: 5,
      excluded: [],
      suspect: false,
    };
    const value = toPlaceAsk(ask, this.core.now);
    this.receive({ $case: "placeAsk", value });
  }

  /** Another daemon reports that its prompt was answered. */
  endForPeer(request: string): void {
    const update = { request, round: 1, state: "ended", tokens: 1 };
    const value = { ...update, crashed: false, suspect: undefined };
    this.receive({ $case: "placeUpdate", value: { ...value, answered: true } });
  }

  /** Ends the running attempt of a prompt by its engine's silence. */
  silence(req: RequestId): void {
    const attempt = this.core.board.requests.byId.get(req)!.attempt!.id;
    const outcome = {
      type: "failed",
      cause: "upstream_silent",
      verdict: "may_have_run",
      tokens: 0,
      crashed: false,
      detail: "",
    } as const;
    this.#after(10, { type: "attempt_ended", req, attempt, outcome });
  }

  /** Crashes an engine with all prompts aboard, and adds another one. */
  crash(upstream: UpstreamId, isReplaced = true): void {
    this.lost += 1;
    this.core.board.upstreams.byId.delete(upstream);
    if (isReplaced) this.core.add(engineFixture(`new-${this.lost}`));
    const aboard = [...this.core.board.requests.byId.values()]
      .filter(({ attempt }) => attempt?.placement.upstream === upstream);
    const events = aboard.map(({ req, attempt }) => ({
      type: "attempt_ended" as const,
      req: req.id,
      attempt: attempt!.id,
      outcome: {
        type: "failed",
        cause: "upstream_crashed",
        verdict: "may_have_run",
        tokens: 0,
        crashed: true,
        detail: "Connection reset",
      } as const,
    }));
    this.#after(10, ...events);
  }

  /** Sends a prompt, ends each of its attempts, and returns the code of its refusal or `answered`. */
  play(letters: string): string {
    const req = this.send(letters);
    while (this.isRunning(req)) this.finish(req);
    const refusal = this.refusalOf(req);
    if (refusal !== undefined) return refusal;
    return this.core.board.requests.byId.has(req) ? "waiting" : "answered";
  }

  isRunning(req: RequestId): boolean {
    return this.core.board.requests.byId.get(req)?.state === "running";
  }

  /** Reports runs of other daemons, as a heartbeat does. */
  learn(...suspects: readonly Suspect[]): void {
    const value = { ...HEARTBEAT, suspects: [...suspects] };
    this.receive({ $case: "heartbeat", value });
  }

  receive(body: Envelope["body"]): void {
    const envelope = { from: PEER, seq: 1, body };
    this.#after(10, { type: "peer_message", envelope });
  }

  refusalOf(req: RequestId): string | undefined {
    return this.#refusals.get(req);
  }

  wait(ms: number): void {
    this.#after(ms);
  }

  #after(ms: number, ...events: readonly Event[]): void {
    const result = this.core.after(ms, ...events);
    this.attempts += intentsOf(result, "start_attempt").length;
    for (const { req, problem } of intentsOf(result, "answer")) {
      this.#refusals.set(req, problem.code);
    }
  }
}

const PEER = "daemon-2" as DaemonId;

const HEARTBEAT = {
  vm: "vm-2",
  peerAddress: "vm-2:2",
  clientAddress: "vm-2:1",
  domain: "domain-1",
  state: "serving",
  revision: 0,
  config: new Uint8Array() as never,
  configOffset: 0,
  running: 0,
  queued: 0,
  teams: [],
  upstreams: [],
  suspects: [],
  atMs: 0,
};

/** Chained digests: a block stands for all letters up to its own. */
export function blocksOf(letters: string): readonly Digest[] {
  return [...letters].map((_, index) => {
    const text = letters.slice(0, index + 1);
    return sha256(text).slice(0, 16) as Digest;
  });
}

/** A report of a crash that a prompt with these blocks was aboard. */
export function report(letters: string, crashed: string): Suspect {
  return {
    digest: `digest-${letters}`,
    upstream: crashed,
    incarnation: "run-1",
    atMs: 0,
    silent: false,
    ...blocksField(blocksOf(letters)),
  };
}
