import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { expect, onTestFinished, test } from "vitest";
import type { Timestamp } from "../core/time.ts";
import { PlannedStop } from "./planned_stop.ts";

const GRACE_MS = 100;
const STALL_MS = 300;

function stall(): void {
  const until = performance.now() + STALL_MS;
  while (performance.now() < until);
}

test("bytes that arrive during a stall of the loop are read before open requests are cut", async () => {
  const events: string[] = [];
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const upstream = connect((server.address() as AddressInfo).port, "127.0.0.1");
  const [daemonSide] = await once(server, "connection") as [Socket];
  daemonSide.on("data", () => events.push("read"));
  await once(upstream, "connect");
  onTestFinished(() => {
    upstream.destroy();
    daemonSide.destroy();
    server.close();
  });
  const exited = new Promise<void>((resolve) =>
    PlannedStop.begin({
      now: () => performance.now() as Timestamp,
      openRequests: () => 1,
      drain: () => {},
      cut: () => events.push("cut"),
      line: () => {},
      flush: () => {},
      exit: () => resolve(),
    }, GRACE_MS)
  );
  setImmediate(() => {
    upstream.write("the end of an answer");
    stall();
  });
  await exited;
  expect(events).toEqual(["read", "cut"]);
});
