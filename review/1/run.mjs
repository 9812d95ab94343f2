import { randomBytes } from "node:crypto";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { attempt, get } from "../stand_ins/client.mjs";
import { Fleet } from "../stand_ins/fleet.mjs";
import {
  CALL_DEADLINE_MS,
  CALL_TIMEOUT_MS,
  configuration,
  PATHS,
  promptHeaders,
  startWorkers,
  STREAM_DEADLINE_MS,
  ZONES,
} from "../stand_ins/installation.mjs";

const TROUBLED = process.env.TROUBLE !== "0";
const TRAFFIC_MS = 40_000;
const CALL_GAP_MS = 100;
const STREAM_GAP_MS = 500;
/** Time after a route's time-out within which the answer is due. */
const ANSWER_SLACK_MS = 500;
/** Share of the streams that one of the engines never ends. */
const ENDLESS_SHARE = 0.5;

const record = fileURLToPath(new URL("record.txt", import.meta.url));
const fleet = new Fleet(record);

/** Sends a request at a random daemon, and records how it ended. */
async function send(kind, options) {
  const { address } = fleet.daemons[
    Math.floor(Math.random() * fleet.daemons.length)
  ];
  const id = randomBytes(8).toString("hex");
  fleet.line("sent", { id, kind, to: address });
  const headers = kind === "stream" ? promptHeaders(id) : {};
  const done = await attempt(address, { id, headers, ...options });
  const { status, isWhole, headMs, endMs, how } = done;
  fleet.line("ended", { id, kind, status, isWhole, headMs, endMs, how });
  return { kind, ...done };
}

/** Asks each daemon whether it is ready, as the platform does. */
async function watchReadiness(counts) {
  for (;;) {
    await Promise.all(fleet.daemons.map(async ({ name, ip }) => {
      counts.asked += 1;
      if (await get(`${ip}:8220`, "/api/readiness", 1_000) === 200) return;
      counts.missed += 1;
      fleet.line("not_ready", { daemon: name });
    }));
    await sleep(1_000);
  }
}

async function run() {
  await fleet.startStore();
  fleet.configure(configuration());
  const [faulty] = await startWorkers(fleet, { engines: 6, orders: 3 });
  await fleet.startDaemons(ZONES);
  if (TROUBLED) faulty.child.send({ endless: ENDLESS_SHARE });
  const counts = { asked: 0, missed: 0 };
  void watchReadiness(counts);
  const sent = [];
  const until = fleet.now() + TRAFFIC_MS;
  const traffic = async (gapMs, start) => {
    while (fleet.now() < until) {
      sent.push(start());
      await sleep(gapMs);
    }
  };
  const call = { path: PATHS.order, body: "x=1", giveUpMs: CALL_DEADLINE_MS };
  const stream = {
    path: PATHS.stream,
    body: "q=1",
    giveUpMs: STREAM_DEADLINE_MS,
  };
  await Promise.all([
    traffic(CALL_GAP_MS, () => send("order", call)),
    traffic(STREAM_GAP_MS, () => send("stream", stream)),
  ]);
  const orders = (await Promise.all(sent)).filter((one) =>
    one.kind === "order"
  );
  const late = orders.filter(({ endMs }) => endMs > CALL_TIMEOUT_MS);
  const later = late.filter(({ endMs, isWhole }) =>
    !isWhole || endMs > CALL_TIMEOUT_MS + ANSWER_SLACK_MS
  );
  const isBroken = late.length > 0 && later.length > late.length / 2;
  fleet.line("result", {
    orders: orders.length,
    unanswered_at_timeout: late.length,
    unanswered_half_a_second_later: later.length,
    ready_asked: counts.asked,
    ready_missed: counts.missed,
    rule: isBroken ? "broken" : "held",
  });
  return isBroken ? 1 : 0;
}

run().then((code) => {
  fleet.stop();
  process.exit(code);
}, (err) => {
  console.error(err);
  fleet.stop();
  process.exit(2);
});
