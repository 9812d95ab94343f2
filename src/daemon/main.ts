#!/usr/bin/env node
import { randomBytes, randomInt } from "node:crypto";
import process from "node:process";
import { command, positional, runSafely, string } from "cmd-ts";
import { formatConfigError } from "../config/config_error.ts";
import {
  checkDaemonSettings,
  type DaemonSettings,
} from "../config/daemon_settings.ts";
import { readConfigFile } from "../config/folder_reader.ts";
import { Random } from "../core/random.ts";
import { unexpectedFields } from "../core/unexpected_error.ts";
import { HttpEngineClient } from "../engine/http_engine_client.ts";
import { HttpLogClient } from "../platform/http_log_client.ts";
import { HttpVmListClient } from "../platform/http_vm_list_client.ts";
import { HttpServiceClient } from "../service/http_service_client.ts";
import { SystemClock } from "./clock.ts";
import { Daemon } from "./daemon.ts";
import { createLogger } from "./logger.ts";

const EXIT_BAD_SETTINGS = 2;
const SECRET_BYTES = 32;
const MAX_SEED = 2 ** 31;

const app = command({
  name: "parsleyfieldd",
  description: "Serves prompts and calls on one entry VM.",
  args: {
    file: positional({
      type: string,
      displayName: "SETTINGS",
      description: "INI file with this daemon's settings",
    }),
  },
  handler: ({ file }) => start(file),
});

async function start(file: string): Promise<void> {
  const read = await readConfigFile(file);
  const settings = read.mapErr((err) => [err]).andThen(checkDaemonSettings);
  if (settings.isErr()) {
    for (const err of settings.error) console.error(formatConfigError(err));
    process.exitCode = EXIT_BAD_SETTINGS;
    return;
  }
  void run(settings.value);
}

async function run(settings: DaemonSettings): Promise<void> {
  const { vm, domain } = settings.daemon;
  const logger = createLogger(settings.log.level, { vm, domain });
  const daemon = Daemon.create({
    settings,
    clock: SystemClock.create(),
    random: Random.create(randomInt(MAX_SEED)),
    logger,
    log: HttpLogClient.create(settings.platform.logUrl),
    vmList: HttpVmListClient.create(settings.platform.vmListUrl),
    upstreams: {
      engine: (address) => HttpEngineClient.create(address),
      service: (address) => HttpServiceClient.create(address),
    },
    createSecret: () => randomBytes(SECRET_BYTES).toString("base64url"),
    onExit: () => process.exit(0),
  });
  const listening = await daemon.listen();
  if (listening.isErr()) {
    logger.error("can't listen", { cause: listening.error.message });
    process.exit(1);
  }
  process.on("uncaughtException", (cause) => {
    logger.error("unexpected error", unexpectedFields(cause));
    process.exit(1);
  });
  process.on("SIGTERM", () => daemon.drain());
  process.on("SIGINT", () => daemon.drain());
}

const result = await runSafely(app, process.argv.slice(2));
if (result._tag === "error") result.error.run();
