import { once } from "node:events";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { Fleet } from "../lib/fleet.ts";
import { Program } from "../lib/program.ts";

const FIRST_PORT = 8081;
const LIFETIME_MS = 30 * 60_000;
const EXAMPLE = "examples/cooperative";

const fleet = Fleet.create({
  daemons: 3,
  engines: 4,
  timeScale: 5,
  loaded: "assistant/2026-09:wire-and-wood,ledgers",
  group: "assistants",
  service: "orders",
  domains: ["a", "b", "c"],
  firstPort: FIRST_PORT,
});

try {
  await fleet.start();
  await publish();
  console.log(`export PARSLEYFIELD_LOG=${fleet.logUrl}`);
  console.log(`export PARSLEYFIELD_ENTRY=${fleet.daemons[0]!.clientAddress}`);
  console.log(
    "Three daemons serve; Ctrl-C ends them all, half an hour does too.",
  );
  await Promise.race([
    once(process, "SIGINT"),
    once(process, "SIGTERM"),
    sleep(LIFETIME_MS),
  ]);
} finally {
  await fleet.stop();
}
process.exit(0);

async function publish(): Promise<void> {
  const entry = fleet.daemons[0]!.clientAddress;
  const args = ["apply", EXAMPLE, "--log", fleet.logUrl, "--entry", entry];
  const code = await Program.create("src/cli/main.js", { args }).exited;
  if (code !== 0) throw new Error(`apply exited with ${code}`);
}
