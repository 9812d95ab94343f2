import { userInfo } from "node:os";
import { setTimeout } from "node:timers/promises";
import { v7 } from "uuid";
import type { Timestamp } from "../core/time.ts";
import { HttpLogClient } from "../platform/http_log_client.ts";
import type { CliContext } from "./context.ts";
import { DaemonHttp } from "./daemon_http.ts";
import { HttpAdminClient } from "./http_admin_client.ts";
import { HttpPromptClient } from "./http_prompt_client.ts";
import type { Output } from "./output.ts";
import type { SharedArgs } from "./run_verb.ts";

/** Builds the context of a real run. */
export function createContext(
  output: Output,
  args: SharedArgs,
): CliContext {
  const http = DaemonHttp.create(args.ca);
  return {
    log: args.log === undefined ? undefined : HttpLogClient.create(args.log),
    entry: args.entry,
    admin: HttpAdminClient.create(http, args.operatorToken),
    prompts: HttpPromptClient.create(http),
    author: args.author ?? userInfo().username,
    now: () => Date.now() as Timestamp,
    sleep: (ms) => setTimeout(ms),
    uuid: () => v7(),
    progress: (text) => output.progress(text),
    write: (text) => output.write(text),
  };
}
