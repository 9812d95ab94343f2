import { once } from "node:events";
import { connect, createServer } from "node:net";
import { expect, test } from "vitest";
import { CountingRelay } from "./counting_relay.ts";

test("every byte of both directions is passed on and counted", async () => {
  const server = createServer((socket) => {
    socket.once("data", () => socket.end("a".repeat(70_000)));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as { port: number };
  const relay = CountingRelay.create(`127.0.0.1:${port}`);
  const [host, relayPort] = (await relay.listen()).split(":");
  const client = connect(Number(relayPort), host);
  client.write("hello");
  let received = 0;
  client.on("data", (chunk) => received += chunk.length);
  await once(client, "close");
  expect(received).toBe(70_000);
  expect(relay.traffic).toEqual({ toServer: 5, toClient: 70_000 });
  await relay.close();
  server.close();
});
