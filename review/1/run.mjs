import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { playCase, TROUBLED } from "../stand_ins/case.mjs";
import { attempt, get } from "../stand_ins/client.mjs";
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

const TRAFFIC_MS = 40_000;
const CALL_GAP_MS = 100;
const STREAM_GAP_MS = 500;
/** Time after a route's time-out within which the answer is due. */
const ANSWER_SLACK_MS = 500;
/** Share of the streams that one of the engines never ends. */
const ENDLESS_SHARE = 0.5;

/** Sends a request at a random daemon, and records how it ended. */
async function send(fleet, kind, options) {
  const { address } = fleet.daemons[
    Math.floor(Math.random() * fleet.daemons.length)
  ];
  const id = randomBytes(8).toString("hex");
  fleet.line("sent", { id, kind, to: address });
  const headers = kind === "stream" ? promptHeaders(id) : {};
  const done = await attempt(address, { id, headers, body: id, ...options });
  const { status, isWhole, headMs, endMs, how } = done;
  fleet.line("ended", { id, kind, status, isWhole, headMs, endMs, how });
  return { kind, ...done };
}

/** Asks each daemon whether it is ready, as the platform does. */
async function watchReadiness(fleet, counts) {
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

await playCase(import.meta.url, async (fleet) => {
  await fleet.startStore();
  fleet.configure(configuration());
  const [faulty] = await startWorkers(fleet, { engines: 6, orders: 3 });
  await fleet.startDaemons(ZONES);
  if (TROUBLED) faulty.child.send({ endless: ENDLESS_SHARE });
  const counts = { asked: 0, missed: 0 };
  void watchReadiness(fleet, counts);
  const sent = [];
  const until = fleet.now() + TRAFFIC_MS;
  const traffic = async (gapMs, start) => {
    while (fleet.now() < until) {
      sent.push(start());
      await sleep(gapMs);
    }
  };
  const call = { path: PATHS.order, giveUpMs: CALL_DEADLINE_MS };
  const stream = { path: PATHS.stream, giveUpMs: STREAM_DEADLINE_MS };
  await Promise.all([
    traffic(CALL_GAP_MS, () => send(fleet, "order", call)),
    traffic(STREAM_GAP_MS, () => send(fleet, "stream", stream)),
  ]);
  const orders = (await Promise.all(sent)).filter((one) =>
    one.kind === "order"
  );
  const late = orders.filter(({ endMs }) => endMs > CALL_TIMEOUT_MS);
  const later = late.filter(({ endMs, isWhole }) =>
    !isWhole || endMs > CALL_TIMEOUT_MS + ANSWER_SLACK_MS
  );
  return {
    isBroken: later.length > late.length / 2,
    orders: orders.length,
    unanswered_at_timeout: late.length,
    unanswered_half_a_second_later: later.length,
    ready_asked: counts.asked,
    ready_missed: counts.missed,
  };
});
