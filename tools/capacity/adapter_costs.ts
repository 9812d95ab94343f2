import type { ResultAsync } from "neverthrow";
import { HttpEngineClient } from "../../src/engine/http_engine_client.ts";
import type { Offset, StreamName } from "../../src/core/id.ts";
import { PeerClients } from "../../src/peer/peer_clients.ts";
import { PeerServer } from "../../src/peer/peer_server.ts";
import { HttpLogClient } from "../../src/platform/http_log_client.ts";
import { HttpVmListClient } from "../../src/platform/http_vm_list_client.ts";
import { CannedServer } from "./canned_server.ts";
import { type Fit, fitLine, type Point } from "./fit.ts";
import { type ProcessorTime, processorTime } from "./processor.ts";
import {
  engineState,
  engineVm,
  heartbeatOf,
  loadReport,
  runId,
  START,
} from "./samples.ts";

const CALLS = 400;
const LIST_CALLS = 20;
const VM_COUNTS = [37, 400, 1_810];

/** Processor time of what the adapters do; servers that answer with fixed bytes are included. */
export type AdapterCosts = Readonly<{
  /** Sending one message and receiving one. */
  message: ProcessorTime;
  engineLoad: ProcessorTime;
  engineState: ProcessorTime;
  engineCache: ProcessorTime;
  emptyRead: ProcessorTime;
  /** Microseconds for one answer of the VM list, by the number of VMs. */
  vmList: Fit;
}>;

/** Measures the adapters' processor time over loopback. */
export async function measureAdapters(): Promise<AdapterCosts> {
  const engine = (body: unknown) => (call: (one: HttpEngineClient) => Call) =>
    withCanned(body, async (address) => {
      const client = HttpEngineClient.create(address);
      const time = await timeOf(CALLS, () => call(client));
      await client.close();
      return time;
    });
  const cache = { incarnation: runId(1), events: [] };
  return {
    message: await measureMessages(),
    engineLoad: await engine(loadReport(1, START))((one) => one.load()),
    engineState: await engine(engineState(1))((one) => one.state()),
    engineCache: await engine(cache)((one) => one.cacheEvents(0)),
    emptyRead: await measureRead(),
    vmList: await measureList(),
  };
}

type Call = ResultAsync<unknown, unknown>;

async function measureMessages(): Promise<ProcessorTime> {
  const server = PeerServer.create({
    deliver: () => {},
    runCall: () => Promise.reject(new Error("Not called")),
  });
  const port = (await server.listen("127.0.0.1:0"))._unsafeUnwrap();
  const peers = PeerClients.create();
  const value = heartbeatOf(1, 7_500);
  const body = { $case: "heartbeat" as const, value };
  const time = await timeOf(
    CALLS,
    () => peers.send(`127.0.0.1:${port}`, { from: runId(1), seq: 100, body }),
  );
  peers.close();
  server.kill();
  return time;
}

function measureRead(): Promise<ProcessorTime> {
  const body = { records: [], first_offset: 0, next_offset: 0, end_offset: 0 };
  return withCanned(body, async (address) => {
    const client = HttpLogClient.create(`http://${address}`);
    const options = { limit: 1_000, waitMs: 1 };
    const time = await timeOf(
      CALLS,
      () => client.read("config" as StreamName, 0 as Offset, options),
    );
    await client.close();
    return time;
  });
}

async function measureList(): Promise<Fit> {
  const points: Point[] = [];
  for (const count of VM_COUNTS) {
    const vms = Array.from({ length: count }, (_, i) => engineVm(i));
    const time = await withCanned({ vms }, async (address) => {
      const client = HttpVmListClient.create(`http://${address}`);
      const time = await timeOf(LIST_CALLS, () => client.list());
      await client.close();
      return time;
    });
    points.push({ x: count, y: time.us });
  }
  return fitLine(points);
}

async function withCanned<T>(
  body: unknown,
  work: (address: string) => Promise<T>,
): Promise<T> {
  const server = CannedServer.create(body);
  const result = await work(await server.listen());
  await server.close();
  return result;
}

function timeOf(count: number, call: () => Call): Promise<ProcessorTime> {
  return processorTime(count, async () => {
    for (let i = 0; i < count; i += 1) {
      if ((await call()).isErr()) throw new Error("A measured call failed");
    }
  });
}
