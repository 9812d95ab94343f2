import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Offset, Revision, StreamName } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { LogClient, type LogError } from "../platform/log_client.ts";
import {
  type AdminDrain,
  type AdminStatus,
  AdminStatusSchema,
} from "../wire/admin.ts";
import type { LogBatch } from "../wire/log.ts";
import { AdminClient, type AdminError } from "./admin_client.ts";
import type { CliContext } from "./context.ts";
import {
  type AnswerEvent,
  PromptClient,
  type PromptToSend,
  type ResumePoint,
  type SendError,
} from "./prompt_client.ts";

/** What one append does, apart from the ordinary. */
export type AppendFault = "refused" | "lost" | "answer_lost";

/** A log of one stream in memory. */
export class FakeLog extends LogClient {
  readonly values: string[] = [];
  /** Faults of the next appends; afterwards all is well. */
  faults: AppendFault[] = [];
  /** The oldest offset still kept. */
  first = 0;
  /** Reads that succeed before the log stops answering. */
  readsLeft = Infinity;

  override append(
    _stream: StreamName,
    values: readonly string[],
  ): ResultAsync<Offset, LogError> {
    const fault = this.faults.shift();
    if (fault === "refused") {
      return errAsync({ code: "refused", detail: "the log is down" });
    }
    const offset = this.values.length as Offset;
    if (fault !== "lost") this.values.push(...values);
    if (fault === undefined) return okAsync(offset);
    return errAsync({ code: "unknown", detail: "no answer" });
  }

  override read(
    _stream: StreamName,
    from: Offset,
    options: { limit: number; waitMs: number },
  ): ResultAsync<LogBatch, LogError> {
    this.readsLeft -= 1;
    if (this.readsLeft < 0) {
      return errAsync({ code: "unknown", detail: "no answer" });
    }
    if (from < this.first) {
      const firstOffset = this.first as Offset;
      return errAsync({ code: "gone", detail: "expired", firstOffset });
    }
    const records = this.values.slice(from, from + options.limit).map((
      value,
      index,
    ) => ({
      offset: (from + index) as Offset,
      at: 0 as Timestamp,
      value,
    }));
    return okAsync({
      records,
      first_offset: this.first as Offset,
      next_offset: (from + records.length) as Offset,
      end_offset: this.values.length as Offset,
    });
  }
}

/** Daemons by address; one that is not there can't be reached. */
export class FakeAdmin extends AdminClient {
  readonly daemons = new Map<string, AdminStatus>();
  readonly drained: string[] = [];
  /** Runs before each answer. */
  onStatus: () => void = () => {};

  override status(address: string): ResultAsync<AdminStatus, AdminError> {
    this.onStatus();
    const status = this.daemons.get(address);
    if (status !== undefined) return okAsync(status);
    return errAsync({ code: "unreachable", detail: `no ${address}` });
  }

  override drain(address: string): ResultAsync<AdminDrain, AdminError> {
    const status = this.daemons.get(address);
    if (status === undefined) {
      return errAsync({ code: "unreachable", detail: `no ${address}` });
    }
    this.drained.push(address);
    const { id, vm } = status;
    return okAsync({ id, vm, state: "leaving" });
  }

  /** Adds daemons that all know each other. */
  add(revisions: Readonly<Record<string, number>>): void {
    const names = Object.keys(revisions);
    for (const name of names) {
      const peers = names.filter((peer) => peer !== name).map((peer) => ({
        ...facts(peer, revisions[peer] ?? -1),
        heard_at: 1_000,
      }));
      this.daemons.set(`${name}:1`, fakeStatus(name, { revisions, peers }));
    }
  }

  /** Changes the revision that a daemon reports itself. */
  setRevision(name: string, revision: number): void {
    const status = this.daemons.get(`${name}:1`);
    if (status === undefined) return;
    this.daemons.set(`${name}:1`, {
      ...status,
      revision: revision as Revision,
    });
  }
}

function fakeStatus(
  name: string,
  options: {
    revisions: Readonly<Record<string, number>>;
    peers: { peer_address: string }[];
  },
): AdminStatus {
  return AdminStatusSchema.parse({
    ...facts(name, options.revisions[name] ?? -1),
    at: 5_000,
    started_at: 0,
    config_stale: false,
    suspects: 0,
    listed: options.peers.map(({ peer_address }) => peer_address),
    peers: options.peers,
    upstreams: [{
      id: "engine-1",
      kind: "engine",
      domain: "a",
      address: "engine-1:1",
      incarnation: "i",
      state: "live",
      group: "g",
      loaded: [{ model: "m", version: "1", adapters: [] }],
      running: 2,
      waiting: 0,
    }],
    quarantine: [{ digest: "abc", since: 0 }],
    leases: [{ group: "g", holder: "id-a", fencing: 7 }],
    counters: { refused: {}, retried: {}, counted: {} },
  });
}

function facts(name: string, revision: number) {
  return {
    id: `id-${name}`,
    vm: name,
    domain: "d",
    client_address: `${name}:1`,
    peer_address: `${name}:2`,
    state: "serving",
    revision,
    running: 1,
    queued: 0,
  };
}

/** One scripted stream: events, then success or an error. */
export type FakeStream = Readonly<
  { events: readonly AnswerEvent[]; error?: SendError }
>;

/** Plays scripted streams and notes what was asked. */
export class FakePrompts extends PromptClient {
  readonly asked: string[] = [];
  streams: FakeStream[] = [];
  addresses: readonly string[] = ["a:1", "b:1"];

  override send(
    address: string,
    _prompt: PromptToSend,
    options: { onEvent: (event: AnswerEvent) => void },
  ): ResultAsync<void, SendError> {
    return this.#play(`send ${address}`, options.onEvent);
  }

  override resume(
    address: string,
    point: ResumePoint,
    options: { onEvent: (event: AnswerEvent) => void },
  ): ResultAsync<void, SendError> {
    const { request, after, token } = point;
    const asked = `resume ${address} ${request}:${after}:${token}`;
    return this.#play(asked, options.onEvent);
  }

  override entries(): ResultAsync<readonly string[], SendError> {
    return okAsync(this.addresses);
  }

  #play(
    asked: string,
    onEvent: (event: AnswerEvent) => void,
  ): ResultAsync<void, SendError> {
    this.asked.push(asked);
    const stream = this.streams.shift();
    for (const event of stream?.events ?? []) onEvent(event);
    if (stream?.error !== undefined) return errAsync(stream.error);
    return okAsync(undefined);
  }
}

/** A context of fakes; sleeping moves its clock. */
export type FakeContext = Readonly<{
  ctx: CliContext;
  log: FakeLog;
  admin: FakeAdmin;
  prompts: FakePrompts;
  written: string[];
}>;

/** Builds a context of fakes; `patch` replaces parts of it. */
export function createFakeContext(
  patch: Partial<CliContext> = {},
): FakeContext {
  const log = new FakeLog();
  const admin = new FakeAdmin();
  const prompts = new FakePrompts();
  const written: string[] = [];
  let now = 1_000;
  let ids = 0;
  const ctx: CliContext = {
    log,
    entry: "a:1",
    admin,
    prompts,
    author: "ada",
    now: () => now as Timestamp,
    sleep: (ms) => {
      now += ms;
      return Promise.resolve();
    },
    uuid: () => `change-${ids += 1}`,
    progress: () => {},
    write: (text) => written.push(text),
    ...patch,
  };
  return { ctx, log, admin, prompts, written };
}
