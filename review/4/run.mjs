import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { playCase, TROUBLED } from "../stand_ins/case.mjs";
import { attempt } from "../stand_ins/client.mjs";
import {
  CALL_DEADLINE_MS,
  configuration,
  PATHS,
  startWorkers,
  ZONES,
} from "../stand_ins/installation.mjs";

const TRAFFIC_MS = 15_000;
const TROUBLE_MS = 6_000;
const GAP_MS = 50;
/** Share of its orders that the faulty worker fails after it has run them, and the status of these answers. */
const FAILING_SHARE = 0.4;
const FAIL_STATUS = 503;
/** Statuses that promise that a request has not run and never will. */
const PROMISES = new Set([408, 421, 429, 503]);

await playCase(import.meta.url, async (fleet) => {
  await fleet.startStore();
  fleet.configure(configuration());
  await startWorkers(fleet, { engines: 1, orders: 3 });
  const ran = new Set();
  fleet.onFact(({ kind, request }) => kind === "ran" && ran.add(request));
  await fleet.startDaemons(ZONES);
  if (TROUBLED) {
    const { child } = fleet.workers.at(-1);
    child.send({ failing: FAILING_SHARE, failStatus: FAIL_STATUS });
    setTimeout(() => child.send({}), TROUBLE_MS);
  }
  const attempts = [];
  /** Sends an order and, after a promise, sends it once more on a new connection, as clients do. */
  const order = async (number, isRepeat = false) => {
    const { address } = fleet.daemons[
      Math.floor(Math.random() * fleet.daemons.length)
    ];
    const id = randomBytes(8).toString("hex");
    fleet.line("sent", { order: number, id, to: address });
    const { status, how } = await attempt(address, {
      id,
      path: PATHS.order,
      body: `order=${number}`,
      giveUpMs: CALL_DEADLINE_MS,
    });
    fleet.line("ended", { order: number, id, status, how });
    attempts.push({ number, id, status });
    if (PROMISES.has(status) && !isRepeat) await order(number, true);
  };
  const orders = [];
  for (const until = fleet.now() + TRAFFIC_MS; fleet.now() < until;) {
    orders.push(order(orders.length));
    await sleep(GAP_MS);
  }
  await Promise.all(orders);
  const untrue = attempts.filter(({ id, status }) =>
    PROMISES.has(status) && ran.has(id)
  );
  const runs = attempts.filter(({ id }) => ran.has(id));
  const numbers = new Set(runs.map(({ number }) => number));
  return {
    isBroken: untrue.length > 0,
    orders: orders.length,
    attempts: attempts.length,
    answered_503_and_run: untrue.length,
    orders_run_more_than_once: runs.length - numbers.size,
  };
});
