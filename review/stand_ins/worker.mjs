import { createServer } from "node:http";
import process from "node:process";

/**
 * Stand-in for a worker, as a process of its own. It reports to its parent what it runs. Its parent may tell it how to
 * behave: `orderMs` and `lookupMs` are the times that its calls take, `headFirst` lets it send the head of an answer when it begins to
 * run the request, `failing` is the share of its orders that it fails with `failStatus` after it has run them, `endless` is
 * the share of its streams that it never ends.
 */
const { id, host, born, slots } = JSON.parse(process.argv[2]);
const FIRST_EVENT_MS = 60;
const EVENT_GAP_MS = 20;
const EVENTS = 12;
const CALL_MS = 40;

let behaviour = {};
let runs = 0;
let active = 0;
process.on("message", (message) => behaviour = message);

const report = (kind, fields) => process.send({ kind, ...fields });

const server = createServer((req, res) => {
  const chunks = [];
  req.on("data", (chunk) => chunks.push(chunk));
  req.on("end", () => serve(req, res));
});

function serve(req, res) {
  if (req.url === "/api/report") {
    return json(res, 200, {
      stage: "colocated",
      models: [{ name: "m", version: 1, adapters: [] }],
      busy: false,
      sequence: 0,
      queueDepth: 0,
      activeRequests: active,
      kvUsed: 0,
      kvTotal: 315_000,
      handles: 0,
      tickets: [],
      pace: 1,
      born,
    });
  }
  if (req.url === "/api/order") return json(res, 200, { free: 315_000 });
  if (req.url === "/health") {
    res.setHeader("X-Instance-Id", id);
    return json(res, 200, {});
  }
  const request = req.headers["x-request-id"];
  res.setHeader("X-Request-Id", request);
  const expected = req.headers["x-expect-instance"];
  if (expected !== undefined && expected !== id) {
    res.setHeader("X-Not-Executed", "1");
    return json(res, 421, {});
  }
  runs += 1;
  active += 1;
  report("ran", { request, path: req.url });
  res.once("close", () => {
    active -= 1;
    report("run_ended", { request, whole: res.writableFinished });
  });
  res.setHeader("X-Response-Seal", `${id}.${runs}`);
  res.setHeader("X-Server-Load", `${active},0,${slots}`);
  if (req.headers["x-token-usage"] === undefined) return call(req, res);
  res.setHeader("Content-Type", "text/event-stream");
  res.setHeader("X-Weight-Versions", "1");
  setTimeout(() => {
    if (Math.random() < (behaviour.endless ?? 0)) sendEndless(res, request);
    else sendEvents(res, Number(req.headers["last-event-id"] ?? 0));
  }, FIRST_EVENT_MS);
}

function call(req, res) {
  const request = req.headers["x-request-id"];
  const { orderMs = CALL_MS, headFirst = false, failing = 0 } = behaviour;
  const fails = req.method !== "GET" && Math.random() < failing;
  const { lookupMs = CALL_MS } = behaviour;
  const workMs = req.method === "GET" ? lookupMs : orderMs;
  if (headFirst) {
    res.writeHead(200, { "Content-Type": "application/json" });
    res.flushHeaders();
  }
  setTimeout(() => {
    if (headFirst) res.end(JSON.stringify({ request }));
    else json(res, fails ? behaviour.failStatus : 200, { request });
  }, workMs);
}

function sendEvents(res, last) {
  if (res.destroyed) return;
  if (last >= EVENTS) return void res.end();
  res.write(`id: ${last + 1}\ndata: event ${last + 1}\n\n`);
  setTimeout(() => sendEvents(res, last + 1), EVENT_GAP_MS);
}

/** Sends lines that never complete an event, each in a chunk of its own, until the caller closes the connection. */
function sendEndless(res, request) {
  report("endless", { request });
  const more = () => {
    while (!res.destroyed) if (!res.write(": ping\n")) return;
  };
  res.on("drain", more);
  more();
}

function json(res, status, value) {
  if (res.destroyed) return;
  const body = JSON.stringify(value);
  const length = new TextEncoder().encode(body).length;
  res.writeHead(status, {
    "Content-Type": "application/json",
    "Content-Length": length,
  });
  res.end(body);
}

server.listen(0, host, () => {
  process.send({ address: `${host}:${server.address().port}` });
});
process.on("disconnect", () => process.exit(0));
