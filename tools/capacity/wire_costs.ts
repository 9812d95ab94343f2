import type { ResultAsync } from "neverthrow";
import { Buffer } from "node:buffer";
import type { Offset, StreamName } from "../../src/core/id.ts";
import { HttpEngineClient } from "../../src/engine/http_engine_client.ts";
import { CONFIG_STREAM } from "../../src/fold/streams.ts";
import { Envelope } from "../../src/gen/peer.ts";
import { PeerClients } from "../../src/peer/peer_clients.ts";
import { PeerServer } from "../../src/peer/peer_server.ts";
import { HttpLogClient } from "../../src/platform/http_log_client.ts";
import { HttpVmListClient } from "../../src/platform/http_vm_list_client.ts";
import { EngineServer } from "../../stand_ins/engine/engine_server.ts";
import { LogService } from "../../stand_ins/log_service/log_service.ts";
import { VmList } from "../../stand_ins/vm_list/vm_list.ts";
import { CountingRelay } from "./counting_relay.ts";
import { type Fit, fitLine, type Point } from "./fit.ts";
import { configText, engineVm, heartbeatOf, runId } from "./samples.ts";

const CALLS = 50;
const WARM_UP_CALLS = 5;
const PAYLOADS = [0, 256, 1_024, 4_096, 16_384];
const VM_COUNTS = [8, 37, 100, 400, 1_810];
const TEAM_COUNTS = [10, 50, 100, 300];
const RECORD_BYTES = [100, 400, 1_600];
const NO_WAIT = { limit: 1_000, waitMs: 1 };

/** Bytes on the wire (TCP payload, both directions) of what daemons say and ask. */
export type WireCosts = Readonly<{
  /** One message to a peer, by the bytes of its envelope. */
  peerMessage: Fit;
  /** One heartbeat without configuration. */
  heartbeat: number;
  /** One answer of the VM list, by the number of VMs. */
  vmList: Fit;
  engineLoad: number;
  engineState: number;
  /** A poll for cache events that brings none. */
  engineCache: number;
  /** A read of a stream that brings nothing. */
  emptyRead: number;
  /** A read that brings one change of the configuration, by the number of teams. */
  configRead: Fit;
  /** Bytes of the published text, by the number of teams. */
  configText: Fit;
  /** One append of one record, by the bytes of the record. */
  append: Fit;
}>;

/** Counts real bytes of the real clients on loopback, against the stand-ins. */
export async function measureWire(): Promise<WireCosts> {
  const peers = await measurePeers();
  const engine = await measureEngine();
  const log = await measureLog();
  return {
    ...peers,
    ...engine,
    ...log,
    vmList: await measureVmList(),
    configText: fitLine(TEAM_COUNTS.map((teams) => ({
      x: teams,
      y: configText({ models: 3, teams }).length,
    }))),
  };
}

async function measurePeers() {
  const server = PeerServer.create({
    deliver: () => {},
    runCall: () => Promise.reject(new Error("Not called")),
  });
  const port = (await server.listen("127.0.0.1:0"))._unsafeUnwrap();
  const relay = CountingRelay.create(`127.0.0.1:${port}`);
  const address = await relay.listen();
  const peers = PeerClients.create();
  let seq = 0;
  const send = (value: ReturnType<typeof heartbeatOf>) => {
    seq += 1;
    const body = { $case: "heartbeat" as const, value };
    return peers.send(address, { from: runId(1), seq, body });
  };
  const points: Point[] = [];
  for (const payload of PAYLOADS) {
    const value = { ...heartbeatOf(1, 7_500), config: Buffer.alloc(payload) };
    const body = { $case: "heartbeat" as const, value };
    const x =
      Envelope.encode({ from: runId(1), seq: 100, body }).finish().length;
    points.push({ x, y: await bytesPerCall(relay, () => send(value)) });
  }
  peers.close();
  await relay.close();
  server.kill();
  return { peerMessage: fitLine(points), heartbeat: points[0]!.y };
}

async function measureEngine() {
  const loaded = [{
    model: "assistant-0",
    version: "2026-09",
    adapters: ["wire-and-wood", "ledgers"],
  }] as never;
  const server = EngineServer.create({ loaded });
  const relay = CountingRelay.create(await server.listen());
  const client = HttpEngineClient.create(await relay.listen());
  const engineLoad = await bytesPerCall(relay, () => client.load());
  const engineState = await bytesPerCall(relay, () => client.state());
  const engineCache = await bytesPerCall(
    relay,
    () => client.cacheEvents(1_000),
  );
  await client.close();
  await relay.close();
  await server.close();
  return { engineLoad, engineState, engineCache };
}

async function measureVmList(): Promise<Fit> {
  const points: Point[] = [];
  for (const count of VM_COUNTS) {
    const vms = Array.from({ length: count }, (_, i) => engineVm(i));
    const list = VmList.create({ vms });
    const relay = CountingRelay.create(await list.listen());
    const client = HttpVmListClient.create(`http://${await relay.listen()}`);
    points.push({
      x: count,
      y: await bytesPerCall(relay, () => client.list()),
    });
    await client.close();
    await relay.close();
    await list.close();
  }
  return fitLine(points);
}

async function measureLog() {
  const log = LogService.create({ recordsPerSecond: 1_000_000 });
  const relay = CountingRelay.create(await log.listen());
  const client = HttpLogClient.create(`http://${await relay.listen()}`);
  const emptyRead = await bytesPerCall(
    relay,
    () => client.read(CONFIG_STREAM, 0 as Offset, NO_WAIT),
  );
  const configPoints: Point[] = [];
  for (const teams of TEAM_COUNTS) {
    const stream = `config-${teams}` as StreamName;
    const text = configText({ models: 3, teams });
    await client.append(stream, [changeRecord(text)]);
    const y = await bytesPerCall(
      relay,
      () => client.read(stream, 0 as Offset, NO_WAIT),
    );
    configPoints.push({ x: teams, y });
  }
  const appendPoints: Point[] = [];
  for (const size of RECORD_BYTES) {
    const value = "x".repeat(size);
    const stream = `records-${size}` as StreamName;
    const y = await bytesPerCall(relay, () => client.append(stream, [value]));
    appendPoints.push({ x: size, y });
  }
  await client.close();
  await relay.close();
  await log.close();
  return {
    emptyRead,
    configRead: fitLine(configPoints),
    append: fitLine(appendPoints),
  };
}

/** A change record as `parsleyfield apply` appends it. */
export function changeRecord(
  text: string,
  change: Readonly<{ id: string; base: number }> = { id: runId(1), base: -1 },
): string {
  return JSON.stringify({
    type: "config_change",
    id: change.id,
    base: change.base,
    change: runId(2),
    author: "operator@example.org",
    at: 1_700_000_000_000,
    text,
  });
}

async function bytesPerCall(
  relay: CountingRelay,
  call: () => ResultAsync<unknown, unknown>,
): Promise<number> {
  for (let i = 0; i < WARM_UP_CALLS; i += 1) await call();
  const before = relay.bytes;
  for (let i = 0; i < CALLS; i += 1) {
    const result = await call();
    if (result.isErr()) throw new Error("A measured call failed");
  }
  return (relay.bytes - before) / CALLS;
}
