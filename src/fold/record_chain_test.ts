import { expect, test } from "vitest";
import type { DaemonId, RecordId } from "../core/id.ts";
import { type RecordBatch, RequestRecordSchema } from "../wire/record.ts";
import { RecordChains, sealBatch } from "./record_chain.ts";

function record(request: string) {
  return RequestRecordSchema.parse({
    request,
    team: "t",
    class: "c",
    request_digest: "abc",
    revision: 3,
    model: "m",
    version: "1",
    result: "ok",
    verdict: "ran",
    attempts: 1,
    tokens: 20,
    arrived_at: 1,
    ended_at: 2,
  });
}

function chain(daemon: string, count: number): RecordBatch[] {
  const batches: RecordBatch[] = [];
  for (let seq = 0; seq < count; seq += 1) {
    const id = `${daemon}-${seq}` as RecordId;
    const head = { id, daemon: daemon as DaemonId };
    batches.push(sealBatch(head, [record(`r${seq}`)], batches.at(-1)));
  }
  return batches;
}

function types(values: readonly unknown[]): readonly string[] {
  const chains = RecordChains.create();
  return values.flatMap((value) =>
    chains.take(JSON.parse(JSON.stringify(value))).map(({ type }) => type)
  );
}

const [A0, A1, A2, A3] = chain("a", 4);
const [B0] = chain("b", 1);

test.each(
  [
    ["whole chains of two daemons", [A0, B0, A1], ["batch", "batch", "batch"]],
    ["a missing batch", [A0, A2], ["batch", "gap", "batch"]],
    ["a chain whose begin has expired", [A2, A3], ["gap", "batch", "batch"]],
    ["a doubled batch", [A0, A1, A1, A0], [
      "batch",
      "batch",
      "doubled",
      "doubled",
    ]],
    ["an altered record", [A0, { ...A1, records: [record("x")] }], [
      "batch",
      "altered",
    ]],
    ["an altered number", [A0, { ...A1, seq: 2 }], ["batch", "altered"]],
    ["another daemon's name", [{ ...A0, daemon: "b" }], ["altered"]],
    ["something else", [{ type: "record_batch", seq: 1 }], ["altered"]],
  ] as const,
)("%s", (_, values, expected) => {
  expect(types(values)).toEqual(expected);
});

test("a batch that was sealed after another one with its number does not follow", () => {
  const other = sealBatch(
    { id: "o" as RecordId, daemon: "a" as DaemonId },
    [record("other")],
    A0,
  );
  expect(types([A0, A1, other])).toEqual(["batch", "batch", "altered"]);
  expect(types([A0, other, A2])).toEqual(["batch", "batch", "altered"]);
});
