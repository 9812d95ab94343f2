import { Buffer } from "node:buffer";
import fc from "fast-check";
import { expect, test } from "vitest";
import { ResponseParser } from "./response_parser.ts";

const MAX_HEAD_BYTES = 200;

/** What a parser makes of pieces of a response, as one line of text. */
function parse(pieces: readonly string[], method = "GET"): string {
  const parser = ResponseParser.create({
    method,
    maxHeadBytes: MAX_HEAD_BYTES,
  });
  const seen: string[] = [];
  let text = "";
  for (const piece of pieces) {
    const { head, body, error } = parser.push(Buffer.from(piece, "latin1"));
    if (head !== undefined) {
      seen.push(`${head.status} ${JSON.stringify(head.rawHeaders)}`);
    }
    text += body?.toString("latin1") ?? "";
    if (error !== undefined) seen.push(error);
  }
  const end = parser.complete
    ? "complete"
    : parser.endsWithConnection
    ? "until closed"
    : "incomplete";
  return [...seen, JSON.stringify(text), end].join(" | ");
}

/** A response with the given lines of a head, and bytes behind it. */
function answer(lines: readonly string[], rest = ""): string {
  return ["HTTP/1.1 200 OK", ...lines, "", rest].join("\r\n");
}

const LENGTH = "Content-Length: 2";
const CHUNKED = "Transfer-Encoding: chunked";

test("responses of all framings end where they say, whatever lies behind", () => {
  const behind = answer([LENGTH], "no");
  const read = {
    length: parse([answer([LENGTH], `ok${behind}`)]),
    "length after an announced end": parse([
      answer([LENGTH, "Connection: close"], `ok${behind}`),
    ]),
    "no bytes": parse([answer(["Content-Length: 0"], behind)]),
    chunks: parse([
      answer(
        [CHUNKED],
        `1;a="b"\r\no\r\n001\r\nk\r\n0\r\nA: b\r\n\r\n${behind}`,
      ),
    ]),
    "until the end of the connection": parse([answer([], `ok${behind}`)])
      .slice(0, 20),
    "of a HEAD request": parse([answer([LENGTH], behind)], "HEAD"),
    "status 204": parse([`HTTP/1.1 204\r\nA:\t\xe9 \r\n\r\n${behind}`]),
    "behind informational ones": parse([
      `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 -\r\nA: b\r\n\r\n${behind}`,
    ]),
    "HTTP/1.0": parse(["HTTP/1.0 200 \xe9\r\nContent-Length: 2\r\n\r\nok"]),
  };
  expect(read).toMatchInlineSnapshot(`
    {
      "HTTP/1.0": "200 ["Content-Length","2"] | "ok" | complete",
      "behind informational ones": "200 ["Content-Length","2"] | "no" | complete",
      "chunks": "200 ["Transfer-Encoding","chunked"] | "ok" | complete",
      "length": "200 ["Content-Length","2"] | "ok" | complete",
      "length after an announced end": "200 ["Content-Length","2","Connection","close"] | "ok" | complete",
      "no bytes": "200 ["Content-Length","0"] | "" | complete",
      "of a HEAD request": "200 ["Content-Length","2"] | "" | complete",
      "status 204": "204 ["A","é"] | "" | complete",
      "until the end of the connection": "200 [] | "okHTTP/1.1",
    }
  `);
});

test("responses with faulty or ambiguous framing are broken", () => {
  const faulty: Record<string, string> = {
    "a length beside chunks": answer([LENGTH, CHUNKED], "0\r\n\r\n"),
    "two lengths": answer([LENGTH, LENGTH], "ok"),
    "a list of lengths": answer(["Content-Length: 2, 2"], "ok"),
    "a signed length": answer(["Content-Length: +2"], "ok"),
    "a length with a space": answer(["Content-Length: 1 2"], "ok"),
    "another coding": answer(["Transfer-Encoding: gzip, chunked"], "0\r\n\r\n"),
    "chunks twice": answer([CHUNKED, CHUNKED], "0\r\n\r\n"),
    "a line that ends in LF": "HTTP/1.1 200 OK\nContent-Length: 2\r\n\r\nok",
    "a header line that ends in LF": answer([`A: b\n${LENGTH}`], "ok"),
    "a head that ends in CR": `HTTP/1.1 200 OK\r\n${LENGTH}\r\n\rok\r\n`,
    "a CR within a line": answer([`A: b\rc`, LENGTH], "ok"),
    "a folded line": answer(["A: b", " c", LENGTH], "ok"),
    "a space before a colon": answer(["Content-Length : 2"], "ok"),
    "a space before the first header": answer([` ${LENGTH}`], "ok"),
    "a line without a colon": answer(["A", LENGTH], "ok"),
    "a NUL in a header": answer(["A: \0", LENGTH], "ok"),
    "a DEL in a header": answer(["A: \x7f", LENGTH], "ok"),
    "another version": answer([LENGTH], "ok").replace("1.1", "2.0"),
    "a status of two digits": answer([LENGTH], "ok").replace("200", "20"),
    "another protocol": "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
    "a long head": answer([`A: ${"x".repeat(MAX_HEAD_BYTES)}`]),
    "long informational heads": "HTTP/1.1 102 -\r\n\r\n".repeat(20),
    "a chunk's size that ends in LF": answer([CHUNKED], "2\nok\r\n0\r\n\r\n"),
    "a space behind a size": answer([CHUNKED], "2 \r\nok\r\n0\r\n\r\n"),
    "a size that isn't hex": answer([CHUNKED], "0x2\r\nok\r\n0\r\n\r\n"),
    "a size that is too large": answer([CHUNKED], `1${"0".repeat(14)}\r\nok`),
    "a chunk that is too long": answer([CHUNKED], "1\r\nok\r\n0\r\n\r\n"),
    "a long extension": answer([CHUNKED], `2;${"x".repeat(5_000)}\r\n`),
    "a long trailer": answer([CHUNKED], `0\r\n${"A: b\r\n".repeat(50)}`),
    "a faulty trailer": answer([CHUNKED], "0\r\nA : b\r\n\r\n"),
  };
  const read = Object.fromEntries(
    Object.entries(faulty).map(([name, text]) => [name, parse([text])]),
  );
  expect(read).toMatchInlineSnapshot(`
    {
      "a CR within a line": "A line doesn't end with CR LF | "" | incomplete",
      "a DEL in a header": "A header is invalid | "" | incomplete",
      "a NUL in a header": "A header is invalid | "" | incomplete",
      "a chunk that is too long": "200 ["Transfer-Encoding","chunked"] | A chunk is longer than its size | "o" | incomplete",
      "a chunk's size that ends in LF": "200 ["Transfer-Encoding","chunked"] | A line doesn't end with CR LF | "" | incomplete",
      "a faulty trailer": "200 ["Transfer-Encoding","chunked"] | A header is invalid | "" | incomplete",
      "a folded line": "A header is invalid | "" | incomplete",
      "a head that ends in CR": "A line doesn't end with CR LF | "" | incomplete",
      "a header line that ends in LF": "A line doesn't end with CR LF | "" | incomplete",
      "a length beside chunks": "The framing is ambiguous: A length beside a transfer coding | "" | incomplete",
      "a length with a space": "The framing is ambiguous: The length is invalid | "" | incomplete",
      "a line that ends in LF": "A line doesn't end with CR LF | "" | incomplete",
      "a line without a colon": "A header is invalid | "" | incomplete",
      "a list of lengths": "The framing is ambiguous: The length is invalid | "" | incomplete",
      "a long extension": "200 ["Transfer-Encoding","chunked"] | The response's head, a chunk's size or a trailer is too long | "" | incomplete",
      "a long head": "The response's head, a chunk's size or a trailer is too long | "" | incomplete",
      "a long trailer": "200 ["Transfer-Encoding","chunked"] | The response's head, a chunk's size or a trailer is too long | "" | incomplete",
      "a signed length": "The framing is ambiguous: The length is invalid | "" | incomplete",
      "a size that is too large": "200 ["Transfer-Encoding","chunked"] | A chunk's size is invalid | "" | incomplete",
      "a size that isn't hex": "200 ["Transfer-Encoding","chunked"] | A chunk's size is invalid | "" | incomplete",
      "a space before a colon": "A header is invalid | "" | incomplete",
      "a space before the first header": "A header is invalid | "" | incomplete",
      "a space behind a size": "200 ["Transfer-Encoding","chunked"] | A chunk's size is invalid | "" | incomplete",
      "a status of two digits": "The status line is invalid | "" | incomplete",
      "another coding": "The framing is ambiguous: A transfer coding other than chunked | "" | incomplete",
      "another protocol": "The response switches protocols | "" | incomplete",
      "another version": "The status line is invalid | "" | incomplete",
      "chunks twice": "The framing is ambiguous: A transfer coding other than chunked | "" | incomplete",
      "long informational heads": "The response's head, a chunk's size or a trailer is too long | "" | incomplete",
      "two lengths": "The framing is ambiguous: The length is invalid | "" | incomplete",
    }
  `);
});

test("a response is read the same in pieces of any size", () => {
  const texts = [
    answer([CHUNKED, "A: b"], "3\r\none\r\n2;x\r\nok\r\n0\r\nA: b\r\n\r\nmore"),
    answer([LENGTH], "ok"),
    answer([CHUNKED], "1\r\nok"),
  ];
  const cuts = fc.array(fc.nat(90), { maxLength: 12 });
  fc.assert(
    fc.property(fc.constantFrom(...texts), cuts, (text, at) => {
      const ends = [...at].sort((a, b) => a - b);
      const pieces = [...ends, text.length].map((end, i) =>
        text.slice(ends[i - 1] ?? 0, end)
      );
      expect(parse(pieces)).toBe(parse([text]));
    }),
    { seed: 50, numRuns: 200 },
  );
});
