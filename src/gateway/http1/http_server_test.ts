import { once } from "node:events";
import type { Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import process from "node:process";
import { afterEach, describe, expect, test } from "vitest";
import { createHttpServer, DATA_AFTER_CLOSE } from "./http_server.ts";

let server: Server;
afterEach(() => {
  server.closeAllConnections();
  server.close();
});

/** Sends bytes to a server whose parser is strict or lax; returns the targets that it serves, and the errors. */
async function served(text: string, lax: boolean): Promise<readonly string[]> {
  const seen: string[] = [];
  server = createHttpServer({ insecureHTTPParser: lax }, (req, res) => {
    seen.push(req.url ?? "");
    req.resume();
    req.on("end", () => setImmediate(() => res.end("ok")));
  });
  server.on("clientError", (cause: NodeJS.ErrnoException, socket) => {
    if (!seen.includes("error")) seen.push("error");
    // The response to a request that was read ends the connection.
    if (cause.code !== DATA_AFTER_CLOSE) socket.destroy();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  socket.resume();
  socket.write(text, "latin1");
  await once(socket, "close");
  return seen;
}

function request(lines: readonly string[], rest = "", target = "/a"): string {
  const head = [`POST ${target} HTTP/1.1`, "Host: h", ...lines];
  return [...head, "", rest].join("\r\n");
}

const LENGTH = "Content-Length: 3";
const CHUNKED = "Transfer-Encoding: chunked";
const CLOSE = "Connection: close";

// A lax parser stands in for that of an earlier release.
describe.each([["strict", false], ["lax", true]])("a %s parser", (_, lax) => {
  test.each([
    ["a target beyond ASCII", request([], "", "/\xe9")],
    ["a length beside chunks", request([LENGTH, CHUNKED], "0\r\n\r\n")],
    ["two lengths", request([LENGTH, LENGTH], "abc")],
    ["another coding", request(["Transfer-Encoding: gzip, chunked"])],
    ["chunks, then another coding", request(["Transfer-Encoding: chunked, x"])],
    ["chunks twice", request([CHUNKED, CHUNKED], "0\r\n\r\n")],
    ["a space before a colon", request(["Content-Length : 3"], "abc")],
    ["a control character", request(["A: \x01"])],
    ["a CR within a line", request(["A: b\rc"])],
  ])("refuses %s", async (_name, text) => {
    expect(await served(text, lax)).toEqual(["error"]);
  });

  test("serves nothing behind a last request, and answers that one", async () => {
    const last = request([CLOSE, LENGTH], "abc", "/last");
    expect(await served(last + request([CLOSE]), lax))
      .toEqual(["/last", "error"]);
  });

  test("serves a request with an expectation", async () => {
    expect(await served(request(["Expect: x", CLOSE]), lax)).toEqual(["/a"]);
  });
});

/** Whether the default parser of this release reads heads by RFC 9112, as those from llhttp 9 on (Node.js 20.19.2) do. */
const IS_STRICT = parseInt(process.versions.llhttp ?? "", 10) >= 9;
const HIDDEN = request([CLOSE], "", "/hidden");

describe.each([["strict", false], ["lax", true]])(
  "a %s parser shows no second request in",
  (_, lax) => {
    test.each([
      ["a folded line", request(["A: b", " c", CLOSE])],
      ["lines that end in LF", request([CLOSE]).replaceAll("\r\n", "\n")],
      ["a head that ends in CR", request([CLOSE]).replace(/\r\n$/, "\rX")],
      [
        "a space before the first header",
        request([CLOSE]).replace("Host", " Host"),
      ],
    ])("a head with %s", async (_name, head) => {
      const seen = await served(head + HIDDEN, lax);
      expect(seen).not.toContain("/hidden");
      if (!lax && IS_STRICT) expect(seen).toEqual(["error"]);
    });

    test.each([
      ["a size that ends in LF", "3\nabc\r\n0\r\n\r\n"],
      ["a space behind a size", "3 \r\nabc\r\n0\r\n\r\n"],
      ["a chunk that is too long", "2\r\nabc\r\n0\r\n\r\n"],
    ])("a body with %s", async (_name, body) => {
      const seen = await served(request([CHUNKED, CLOSE], body) + HIDDEN, lax);
      expect(seen).not.toContain("/hidden");
      if (!lax && IS_STRICT) expect(seen).toEqual(["/a", "error"]);
    });
  },
);
