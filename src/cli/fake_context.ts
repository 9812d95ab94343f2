import type { Timestamp } from "../core/time.ts";
import type { CliContext } from "./context.ts";
import { FakeAdminClient } from "./fake_admin_client.ts";
import { FakeLogClient } from "./fake_log_client.ts";
import { FakePromptClient } from "./fake_prompt_client.ts";

/** A context of fakes; `sleep` advances its clock. */
export type FakeContext = Readonly<{
  ctx: CliContext;
  log: FakeLogClient;
  admin: FakeAdminClient;
  prompts: FakePromptClient;
  written: string[];
}>;

/** Builds a context of fakes; `patch` replaces parts of it. */
export function createFakeContext(
  patch: Partial<CliContext> = {},
): FakeContext {
  const log = new FakeLogClient();
  const admin = new FakeAdminClient();
  const prompts = new FakePromptClient();
  const written: string[] = [];
  let now = 1_000;
  let ids = 0;
  const ctx: CliContext = {
    log,
    entry: "a:1",
    admin,
    prompts,
    author: "ada",
    now: () => now as Timestamp,
    sleep: (ms) => {
      now += ms;
      return Promise.resolve();
    },
    uuid: () => `change-${ids += 1}`,
    progress: () => {},
    write: (text) => written.push(text),
    ...patch,
  };
  return { ctx, log, admin, prompts, written };
}
