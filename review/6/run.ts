import { Buffer } from "node:buffer";
import {
  answerReport,
  BROKEN,
  Daemon,
  HELD,
  KeptConnection,
  NOT_RUN,
  Platform,
  type Record,
  requestText,
  runCase,
  sleep,
  startWorker,
  TROUBLE,
} from "../stand_ins_2/harness.ts";

const EVENTS = 12;
/** Events after which the worker that runs the disrupted request resets its connection. */
const EVENTS_BEFORE_RESET = 5;
const EVENT_GAP_MS = 20;
const DISRUPTED = "r2";
/** The longest time until an answer is whole, and the client's pause behind it. */
const ANSWER_MS = 10_010;
const IDLE_MS = 1_000;
const HEADERS = [
  "X-Model: m",
  "X-Token-Usage: 1460,80",
  "X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:660",
];

/** An engine whose streams have a length; a run that goes on for another one writes words of its own. */
function startEngine(name: string, record: Record): Promise<string> {
  const born = Date.now();
  let runs = 0;
  return startWorker(async (req) => {
    if (answerReport(req, born)) return;
    const { headers, socket } = req;
    const id = headers.get("x-request-id");
    const from = Number(headers.get("last-event-id") ?? 0);
    runs += 1;
    record.line(`${name} runs ${id} after event ${from}`);
    const words = from === 0 ? "short" : "somewhat longer";
    const events: string[] = [];
    for (let n = from + 1; n <= EVENTS; n += 1) {
      events.push(`id: ${n}\ndata: ${words} ${n}\n\n`);
    }
    socket.write(
      [
        "HTTP/1.1 200 OK",
        `X-Request-Id: ${id}`,
        `X-Response-Seal: ${name}.${runs}`,
        "Content-Type: text/event-stream",
        "X-Weight-Versions: 1",
        `Content-Length: ${events.join("").length}`,
        "",
        "",
      ].join("\r\n"),
    );
    for (const [i, event] of events.entries()) {
      const breaks = TROUBLE && id === DISRUPTED && from === 0;
      if (breaks && i === EVENTS_BEFORE_RESET) {
        record.line(`${name} resets ${id} after event ${i}`);
        socket.resetAndDestroy();
        return;
      }
      if (socket.destroyed) return;
      socket.write(event);
      await sleep(EVENT_GAP_MS);
    }
  });
}

/** A response as a client reads it: by its length or its chunks. */
type ClientResponse = Readonly<{ status: string; id?: string; body: string }>;

/** Reads the responses on a connection one after the other; what is none of them remains. */
function readResponses(
  text: string,
): Readonly<{ responses: readonly ClientResponse[]; rest: string }> {
  const responses: ClientResponse[] = [];
  let rest = text;
  for (;;) {
    const end = rest.indexOf("\r\n\r\n");
    if (!rest.startsWith("HTTP/1.1 ") || end < 0) break;
    const head = rest.slice(0, end);
    const field = (name: string) =>
      new RegExp(`^${name}: *(.*)$`, "im").exec(head)?.[1]?.trim();
    const response = { status: head.slice(9, 12), id: field("x-request-id") };
    const length = field("content-length");
    let at = end + 4;
    let body = "";
    if (length === undefined) {
      for (;;) {
        const lineEnd = rest.indexOf("\r\n", at);
        const size = parseInt(rest.slice(at, lineEnd), 16);
        if (lineEnd < 0 || Number.isNaN(size)) return { responses, rest };
        body += rest.slice(lineEnd + 2, lineEnd + 2 + size);
        at = lineEnd + 4 + size;
        if (size === 0) break;
      }
    } else {
      body = rest.slice(at, at + Number(length));
      if (body.length < Number(length)) break;
      at += Number(length);
    }
    responses.push({ ...response, body });
    rest = rest.slice(at);
  }
  return { responses, rest };
}

await runCase(async (record) => {
  const platform = new Platform();
  platform.publish();
  for (const id of ["i-1", "i-2"]) {
    const address = await startEngine(id, record);
    platform.register(id, { service: "assistant-pool", address });
  }
  const store = await platform.store.openEndpoint(() => "serves");
  const daemon = Daemon.start({ name: "front-1", store });
  if (!await daemon.ready()) return NOT_RUN;

  // One client, one kept connection, one request after the other.
  const client = KeptConnection.open(daemon.front);
  const ids = ["r1", DISRUPTED, "r3"];
  const answered = () => readResponses(client.text).responses.length;
  for (const [sent, id] of ids.entries()) {
    if (answered() < sent) break;
    record.line(`client sends ${id}`);
    client.write(requestText({ path: "/ask/x", id, headers: HEADERS }));
    for (let ms = 0; ms < ANSWER_MS && answered() <= sent; ms += 50) {
      await sleep(50);
    }
    // A kept connection is idle between two requests.
    await sleep(IDLE_MS);
  }
  record.line(`received, connection ${client.end}:\n${client.text}`);
  client.destroy();

  const { responses, rest } = readResponses(client.text);
  for (const { status, id, body } of responses) {
    record.line(
      `response ${status} of ${id}, ${Buffer.byteLength(body)} bytes`,
    );
  }
  record.line(`bytes that are no response: ${JSON.stringify(rest)}`);
  const success = responses.filter(({ status }) => status === "200");
  if (!success.some(({ id }) => id === "r1")) return NOT_RUN;
  const foreign = success.filter(({ id, body }) =>
    body.includes("HTTP/1.1") || !ids.includes(id ?? "")
  );
  const incomplete = success.filter(({ body }) =>
    !new RegExp(`id: ${EVENTS}\ndata: [^\n]*\n\n$`).test(body)
  );
  const broken = foreign.length + incomplete.length > 0 ||
    (rest !== "" && !rest.startsWith("HTTP/1.1 "));
  return broken ? BROKEN : HELD;
});
