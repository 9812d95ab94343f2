import { Buffer } from "node:buffer";
import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { expect, onTestFinished, test } from "vitest";
import { PlatformDialect } from "../../../platform/wire/dialect.ts";
import {
  createFakePort,
  requestHead,
  servingWithRoutes,
} from "../../testing/fake_gateway_port.ts";
import { addMs } from "../../core/time.ts";
import { RouteTable } from "../serving/route_table.ts";
import { AnswerTimes } from "./answer_times.ts";
import type { ClientResponse } from "./client_response.ts";
import { DrainGate } from "./drain_gate.ts";
import { IncomingRequest } from "./incoming_request.ts";

const BODY_BYTES = 1 << 19;
/** Most memory that is kept for a byte of a body: its own, and room to grow. */
const MAX_KEPT_PER_BYTE = 4;

/** Memory in use after a garbage collection. */
function usedBytes(): number {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  collect();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

// Guards against memory for each piece of a body, by which one client could fill the heap and end the daemon.
test("a body in pieces of one byte took a hundred times its size of memory", () => {
  const port = createFakePort(PlatformDialect.create(), ["127.0.0.1:1"]);
  const head = { ...requestHead(), host: "h.example", path: "/reserve/x" };
  const admitted = RouteTable.create(servingWithRoutes({}))
    .admit({ ...head, key: "key-1" })._unsafeUnwrap();
  const times = AnswerTimes.create();
  const incoming = IncomingRequest.create(port, {
    head,
    admitted,
    readmit: () => undefined,
    bodyBytes: BODY_BYTES,
    arrivedAt: port.now(),
    deadlineAt: addMs(port.now(), 30_000),
    response: { started: false } as ClientResponse,
  }, {
    gate: DrainGate.create(() => undefined, times),
    times,
    refuse: () => {},
  });
  const req = new EventEmitter();
  const res = new EventEmitter();
  onTestFinished(() => void res.emit("close"));
  incoming.read(req as IncomingMessage, res as ServerResponse);
  const reading = Buffer.alloc(65_536, "x");
  const before = usedBytes();
  for (let i = 0; i < BODY_BYTES; i += 1) {
    const at = i % reading.length;
    req.emit("data", reading.subarray(at, at + 1));
  }
  expect((usedBytes() - before) / BODY_BYTES).toBeLessThan(MAX_KEPT_PER_BYTE);
});
