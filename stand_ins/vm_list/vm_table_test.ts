import { expect, test } from "vitest";
import type { Timestamp } from "../../src/core/time.ts";
import { VmSchema } from "../../src/wire/vm_list.ts";
import { VmTable } from "./vm_table.ts";

const VM = VmSchema.parse({
  id: "v1",
  role: "engine",
  domain: "a",
  address: "127.0.0.1:1",
  incarnation: "i1",
  state: "live",
});

test("changes become visible after the lag, in their order", () => {
  const table = VmTable.create();
  const states = (ms: number) =>
    table.list(ms as Timestamp).map((vm) => vm.state);
  table.put(0 as Timestamp, VM, { lagMs: 100 });
  table.put(50 as Timestamp, { ...VM, state: "leaving" }, { lagMs: 100 });
  table.remove(60 as Timestamp, VM.id, { lagMs: 100 });
  expect([99, 100, 150, 160].map(states)).toEqual([
    [],
    ["live"],
    ["leaving"],
    [],
  ]);
});
