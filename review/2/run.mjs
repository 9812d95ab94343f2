import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { playCase, TROUBLED } from "../stand_ins/case.mjs";
import { KeptClient } from "../stand_ins/client.mjs";
import {
  CALL_DEADLINE_MS,
  configuration,
  PATHS,
  startWorkers,
  ZONES,
} from "../stand_ins/installation.mjs";

const CLIENTS = 6;
/** Time that the workers take for an order. */
const WORK_MS = 400;
/** Time-out of the orders' route after the change of the configuration. */
const NEW_TIMEOUT_MS = 300;
const BEFORE_CHANGE_MS = 5_000;
const AFTER_CHANGE_MS = 20_000;
const PAUSE_MS = 200;
/** Requests that the rule lets a machine lose. */
const MAX_LOST = 3;

function withTimeout(version, timeoutMs) {
  const { routes, ...rest } = configuration({ version });
  const changed = routes.map((route) =>
    route.routeType === "non_idempotent" ? { ...route, timeoutMs } : route
  );
  return { ...rest, routes: changed };
}

await playCase(import.meta.url, async (fleet) => {
  await fleet.startStore();
  fleet.configure(configuration());
  await startWorkers(fleet, { engines: 1, orders: 3 });
  for (const { child } of fleet.workers) {
    child.send({ orderMs: WORK_MS, headFirst: true });
  }
  const ran = new Set();
  fleet.onFact(({ kind, request }) => kind === "ran" && ran.add(request));
  await fleet.startDaemons(ZONES);
  const changeAt = fleet.now() + BEFORE_CHANGE_MS;
  const until = changeAt + AFTER_CHANGE_MS;
  const ended = [];
  const sendAll = async (address) => {
    const client = new KeptClient();
    const send = async (fields) => {
      const id = randomBytes(8).toString("hex");
      fleet.line("sent", { id, to: address, path: fields.path });
      const limitMs = CALL_DEADLINE_MS;
      const end = await client.send(address, { id, limitMs, ...fields });
      fleet.line("ended", end);
      ended.push(end);
      await sleep(PAUSE_MS);
    };
    while (fleet.now() < until) {
      await send({ method: "GET", path: PATHS.lookup });
      await send({ path: PATHS.order, body: "x=1" });
    }
    client.close();
  };
  const change = async () => {
    await sleep(BEFORE_CHANGE_MS);
    if (TROUBLED) fleet.configure(withTimeout(7, NEW_TIMEOUT_MS));
  };
  const clients = Array.from(
    { length: CLIENTS },
    (_, i) => sendAll(fleet.daemons[i % fleet.daemons.length].address),
  );
  await Promise.all([change(), ...clients]);
  // The client got no byte of an answer, though the request had reached a worker.
  const lost = ended.filter((end) =>
    end.kept && end.status === undefined && ran.has(end.id)
  );
  return {
    isBroken: lost.length > MAX_LOST,
    sent: ended.length,
    answered: ended.filter(({ status }) => status !== undefined).length,
    closed_without_answer: ended.filter(({ error }) => error !== undefined)
      .length,
    of_these_kept_and_run: lost.length,
  };
});
