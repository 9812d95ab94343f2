import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { performance } from "node:perf_hooks";
import { ok } from "neverthrow";
import { expect, test } from "vitest";
import { sendHttpCall, serveGetRequests } from "./plain_http.ts";

const TIMEOUT_MS = 150;

test.each([
  ["a port out of range", "127.0.0.1:99999", "/"],
  ["the first port out of range", "127.0.0.1:65536", "/"],
  ["a negative port", "127.0.0.1:-1", "/"],
  ["no port", "nowhere", "/"],
  ["no address", "", "/"],
  ["a path with a space", "127.0.0.1:1", "/a b"],
])(
  "a call with %s ended the process: it fails as unreachable",
  async (_name, address, path) => {
    const result = await sendHttpCall({ method: "GET", address, path });
    expect(result._unsafeUnwrapErr().code).toBe("unreachable");
  },
);

test.each([
  ["//", 404],
  ["http://[::1", 404],
  ["*", 404],
  ["/a?zone=%ff&zone=%", 200],
  ["/\u00e9", 404],
])("a GET request for %s gets a response", async (target, status) => {
  const server = await serveGetRequests(
    { host: "127.0.0.1", port: 0 },
    (url) =>
      url.pathname === "/a"
        ? { status: 200, body: url.search, contentType: "text/plain" }
        : undefined,
  );
  try {
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, "127.0.0.1");
    socket.write(`GET ${target} HTTP/1.1\r\nHost: h\r\n\r\n`, "latin1");
    const [head] = await once(socket, "data");
    socket.destroy();
    expect(String(head)).toContain(`HTTP/1.1 ${status}`);
  } finally {
    server.close();
  }
});

test("a response that had arrived during a stall was taken for none", async () => {
  const server = await serveGetRequests(
    { host: "127.0.0.1", port: 0 },
    () => {
      const until = performance.now() + 2 * TIMEOUT_MS;
      // The response is written by a tick; the loop then stands still beyond the time limit.
      setImmediate(() => {
        while (performance.now() < until);
      });
      return { status: 200, body: "all of it", contentType: "text/plain" };
    },
  );
  const { port } = server.address() as AddressInfo;
  const result = await sendHttpCall({
    method: "GET",
    address: `127.0.0.1:${port}`,
    path: "/",
    timeoutMs: TIMEOUT_MS,
  });
  expect(result._unsafeUnwrap().body.toString()).toBe("all of it");
  server.close();
});

test("the rest of a long response was not read after a stall", async () => {
  const part = "x".repeat(100_000);
  const length = 2 * part.length;
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\n\r\n${part}`);
    // The loop stands still beyond the time limit before it reads what was written.
    const finish = () => {
      socket.write(part);
      const until = performance.now() + 2 * TIMEOUT_MS;
      while (performance.now() < until);
    };
    setTimeout(() => setImmediate(finish), TIMEOUT_MS / 2);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const result = await sendHttpCall({
    method: "GET",
    address: `127.0.0.1:${port}`,
    path: "/",
    timeoutMs: TIMEOUT_MS,
  });
  expect(result.map(({ body }) => body.length)).toEqual(ok(length));
  server.close();
});
