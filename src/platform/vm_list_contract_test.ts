import { describe, expect, test } from "vitest";
import { VmList, type VmListControl } from "../../stand_ins/vm_list/vm_list.ts";
import type { Timestamp } from "../core/time.ts";
import { VmSchema } from "../wire/vm_list.ts";
import { HttpVmListClient } from "./http_vm_list_client.ts";

const ADAPTERS = {
  HttpVmListClient: (url: string, options: { timeoutMs: number }) =>
    HttpVmListClient.create(url, options),
};

const SHORT_TIMEOUT_MS = 500;
const LONG_TIMEOUT_MS = 20_000;

const LIVE = VmSchema.parse({
  id: "v1",
  role: "service",
  domain: "a",
  address: "127.0.0.1:1",
  incarnation: "i1",
  state: "live",
  service: "stock",
});
const LEAVING = { ...LIVE, state: "leaving" as const };

describe.each(Object.entries(ADAPTERS))("%s", (_name, createClient) => {
  test("a change becomes visible after the lag", async () => {
    let now = 0;
    const list = VmList.create({
      vms: [LIVE],
      lagMs: 100,
      now: () => now as Timestamp,
    });
    const url = `http://${await list.listen()}`;
    const client = createClient(url, { timeoutMs: LONG_TIMEOUT_MS });
    list.put(LEAVING);
    const seen = [];
    for (const time of [99, 100]) {
      now = time;
      seen.push((await client.list())._unsafeUnwrap());
    }
    await client.close();
    await list.close();
    expect(seen).toEqual([[LIVE], [LEAVING]]);
  });

  const FAULTS: readonly VmListControl[] = [
    { outage: true },
    { hang: true },
    { delay_ms: 2_000 },
    { malformed: true },
  ];
  test.concurrent.each(FAULTS)(
    "a call with the fault %o fails with `unreachable`",
    async (faults) => {
      const list = VmList.create({ vms: [LIVE] });
      list.control(faults);
      const timeoutMs = faults.hang || faults.delay_ms
        ? SHORT_TIMEOUT_MS
        : LONG_TIMEOUT_MS;
      const url = `http://${await list.listen()}`;
      const client = createClient(url, { timeoutMs });
      const result = await client.list();
      await client.close();
      await list.close();
      expect(result._unsafeUnwrapErr().code).toBe("unreachable");
    },
  );
});
