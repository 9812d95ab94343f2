import { canonicalText } from "../../src/config/canonical.ts";
import { ServingConfigSchema } from "../../src/config/serving.ts";
import type { Offset, Revision, VmId } from "../../src/core/id.ts";
import type { Timestamp } from "../../src/core/time.ts";
import type { Heartbeat } from "../../src/gen/peer.ts";
import type { EngineState, LoadReport } from "../../src/wire/engine.ts";
import type { Vm } from "../../src/wire/vm_list.ts";

/** Failure domains of the letter's fleet. */
const DOMAINS = 10;
const TOKEN_DIGEST_DIGITS = 64;
/** When measured runs begin. */
export const START = 1_700_000_000_000 as Timestamp;

/** Settings of the sample configuration. */
export type ConfigSize = Readonly<{ models: number; teams: number }>;

/** Text of a configuration of this size, as it is published. */
export function configText(size: ConfigSize): string {
  const models = Array.from({ length: size.models }, (_, i) => ({
    id: `assistant-${i}`,
    versions: ["2026-09"],
    version: "2026-09",
    adapters: ["wire-and-wood", "ledgers"],
  }));
  const groups = models.map((model) => ({
    id: `group-of-${model.id}`,
    loaded: [{
      model: model.id,
      version: model.version,
      adapters: model.adapters,
    }],
    checksFencing: true,
    orderDelayMs: 5_000,
  }));
  const teams = Array.from({ length: size.teams }, (_, i) => ({
    id: `team-${String(i).padStart(4, "0")}`,
    share: 1 + i % 7,
    tokenDigests: [i.toString(16).padStart(TOKEN_DIGEST_DIGITS, "0")],
    models: [models[i % models.length]!.id],
    services: [],
  }));
  const classes = [{
    id: "quick",
    urgency: 1,
    deadlineMs: 30_000,
    maxDeadlineMs: 60_000,
  }];
  return canonicalText(ServingConfigSchema.parse({
    models,
    groups,
    services: [],
    teams,
    classes,
    limits: {},
  }));
}

/** Id of a run of a VM; as long as the UUIDs that daemons draw. */
export function runId(index: number): string {
  return `00000000-0000-7000-8000-${String(index).padStart(12, "0")}`;
}

/** The VM list's entry of an entry VM. */
export function entryVm(index: number): Vm {
  return {
    id: `entry-${index}` as VmId,
    role: "entry",
    domain: domain(index),
    address: peerAddress(index),
    incarnation: runId(index) as Vm["incarnation"],
    state: "live",
  };
}

/** The VM list's entry of an engine. */
export function engineVm(index: number): Vm {
  return {
    id: `engine-${index}` as VmId,
    role: "engine",
    domain: domain(index),
    address: `10.4.${index >> 8}.${index & 255}:8000`,
    incarnation: engineRun(index),
    state: "live",
    group: "group-of-assistant-0" as Vm["group"] & string,
  };
}

/** What an engine reports of its load. */
export function loadReport(index: number, at: number): LoadReport {
  return {
    ...engineHead(index),
    at: at as Timestamp,
    running: 12,
    waiting: 3,
    decoding: 10,
    prefill_tokens: 48_213,
    kv_capacity_tokens: 450_000,
    kv_free_tokens: 211_904,
  };
}

/** What an engine has loaded. */
export function engineState(index: number): EngineState {
  return { ...engineHead(index), loading: [] };
}

/** What the peer with this number says of itself. */
export function heartbeatOf(index: number, revision: number): Heartbeat {
  return {
    vm: `entry-${index}`,
    peerAddress: peerAddress(index),
    clientAddress: `10.3.${index >> 8}.${index & 255}:8080`,
    domain: domain(index),
    state: "serving",
    revision: revision as Revision,
    config: new Uint8Array() as Heartbeat["config"],
    configOffset: (revision + 1) as Offset,
    running: 200,
    queued: 3,
    teams: [],
    upstreams: [],
    suspects: [],
    atMs: START,
  };
}

/** Where the peer with this number listens. */
export function peerAddress(index: number): string {
  return `10.3.${index >> 8}.${index & 255}:9000`;
}

function engineHead(index: number) {
  return {
    incarnation: engineRun(index),
    loaded: [{
      model: "assistant-0",
      version: "2026-09",
      adapters: ["wire-and-wood", "ledgers"],
    }] as unknown as LoadReport["loaded"],
    role: "mixed" as const,
    leaving: false,
  };
}

function engineRun(index: number): Vm["incarnation"] {
  return runId(100_000 + index) as Vm["incarnation"];
}

function domain(index: number): Vm["domain"] {
  return `region-${index % 5}-${index % DOMAINS}` as Vm["domain"];
}
