import { createSocket } from "node:dgram";
import { once } from "node:events";
import { expect, test } from "vitest";
import { createBlackboard } from "../board/blackboard.ts";
import { addMs } from "../core/time.ts";
import { selfFixture, START } from "../testing/fixtures.ts";
import { Metrics } from "./metrics.ts";

test("a flush sends counter increases and gauges, and timings are sent as they occur", async () => {
  const socket = createSocket("udp4");
  socket.bind(0, "127.0.0.1");
  await once(socket, "listening");
  const lines: string[] = [];
  const board = createBlackboard(selfFixture());
  const metrics = Metrics.create(
    board,
    { host: "127.0.0.1", port: socket.address().port, tags: { vm: "vm-1" } },
    { now: () => addMs(START, 500) },
  );
  const received = new Promise<void>((resolve) => {
    socket.on("message", (message) => {
      lines.push(...message.toString().split("\n"));
      if (lines.some((line) => line.includes("last"))) resolve();
    });
  });
  board.config.confirmedAt = START;
  board.counters.refuse("queue_full");
  metrics.flush();
  board.counters.refuse("queue_full");
  board.counters.refuse("queue_full");
  metrics.flush();
  metrics.sendTiming({ name: "first_token_ms", ms: 12, length: "last" });
  await received;
  const counts = lines.filter((line) =>
    line.includes("refused") || line.includes("first") || line.includes("age")
  );
  expect(counts).toMatchInlineSnapshot(`
    [
      "parsleyfield.refused:1|c|#vm:vm-1,reason:queue_full",
      "parsleyfield.config_age_ms:500|g|#vm:vm-1",
      "parsleyfield.refused:2|c|#vm:vm-1,reason:queue_full",
      "parsleyfield.config_age_ms:500|g|#vm:vm-1",
      "parsleyfield.first_token_ms:12|ms|#vm:vm-1,length:last",
    ]
  `);
  await metrics.close();
  socket.close();
});
