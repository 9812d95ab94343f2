import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, expect, test } from "vitest";
import { Relay } from "./relay.ts";

const closers: (() => void)[] = [];

afterEach(() => {
  for (const close of closers.splice(0)) close();
});

async function startEcho(): Promise<{ server: Server; address: string }> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.pipe(socket);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  closers.push(() => server.close());
  const { port } = server.address() as AddressInfo;
  return { server, address: `127.0.0.1:${port}` };
}

async function startRelay(): Promise<{ relay: Relay; port: number }> {
  const echo = await startEcho();
  const relay = Relay.create({ target: echo.address });
  const address = await relay.listen();
  closers.push(() => relay.close());
  return { relay, port: Number(address.split(":")[1]) };
}

async function open(port: number): Promise<Socket> {
  const socket = connect(port, "127.0.0.1");
  closers.push(() => socket.destroy());
  await once(socket, "connect");
  return socket;
}

async function echo(socket: Socket, text: string): Promise<string> {
  socket.write(text);
  const [chunk] = await once(socket, "data");
  return String(chunk);
}

test("a frozen connection swallows bytes for good while a new one works", async () => {
  const { relay, port } = await startRelay();
  const old = await open(port);
  expect(await echo(old, "a")).toBe("a");
  expect(relay.freezeOpen()).toBe(1);
  const heard: string[] = [];
  for (const event of ["data", "end", "error", "close"]) {
    old.on(event, () => heard.push(event));
  }
  old.write("b");
  expect(await echo(await open(port), "c")).toBe("c");
  expect(heard).toEqual([]);
  expect(relay.counts()).toEqual({ accepted: 2, open: 2, frozen: 1 });
});

test("a cut connection is reset", async () => {
  const { relay, port } = await startRelay();
  const socket = await open(port);
  await echo(socket, "a");
  relay.cutOpen();
  const [err] = await once(socket, "error");
  expect(err.code).toBe("ECONNRESET");
});

test("new connections are refused and later taken again", async () => {
  const { relay, port } = await startRelay();
  const old = await open(port);
  await relay.setNew("refuse");
  const err = await open(port).catch((cause) => cause);
  expect(err.code).toBe("ECONNREFUSED");
  expect(await echo(old, "still here")).toBe("still here");
  await relay.setNew("pass");
  expect(await echo(await open(port), "back")).toBe("back");
});

test("delayed bytes arrive in their order", async () => {
  const { relay, port } = await startRelay();
  relay.setDelay(5);
  const socket = await open(port);
  expect(await echo(socket, "a")).toBe("a");
  expect(await echo(socket, "b")).toBe("b");
});
