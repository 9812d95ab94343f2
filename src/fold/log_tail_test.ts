import { expect, test } from "vitest";
import { Controller } from "../core/controller.ts";
import type { StepContext } from "../core/step_context.ts";
import { CoreFixture, intentsOf } from "../testing/fixtures.ts";
import { LogTail } from "./log_tail.ts";
import { CONFIG_STREAM } from "./streams.ts";

class TailController extends Controller {
  override readonly name = "tail";
  readonly #tail = LogTail.create(CONFIG_STREAM, {
    idRetentionMs: 1_000,
    maxIds: 10,
  });

  override step(_board: unknown, ctx: StepContext): void {
    this.#tail.step(ctx);
  }
}

const EMPTY = {
  type: "log_read",
  stream: CONFIG_STREAM,
  records: [],
  nextOffset: 0 as never,
  endOffset: 0 as never,
} as const;
const FAILED = { type: "log_unreachable", stream: CONFIG_STREAM } as const;

test("a read waits for new records only after the end was reached, and not directly after a failure", () => {
  const core = CoreFixture.create([new TailController()]);
  const waits = [
    core.step(),
    core.step(EMPTY),
    core.step(FAILED),
    core.after(5_000),
    core.step(EMPTY),
  ].flatMap((result) =>
    intentsOf(result, "read_log").map((intent) => intent.wait)
  );
  expect(waits).toEqual([false, true, false, true]);
});
