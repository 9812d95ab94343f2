import { expect, test } from "vitest";
import { createBlackboard } from "../board/blackboard.ts";
import type {
  DaemonId,
  DomainId,
  FencingNumber,
  GroupId,
  VmId,
} from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { AdminStatusSchema } from "../wire/admin.ts";
import { adminStatus } from "./admin_status.ts";

test("the status matches the schema that the CLI parses and includes the leases", () => {
  const board = createBlackboard({
    id: "d1" as DaemonId,
    vm: "vm1" as VmId,
    domain: "a" as DomainId,
    clientAddress: "127.0.0.1:1",
    peerAddress: "127.0.0.1:2",
    startedAt: 5 as Timestamp,
  });
  board.orders.leases = new Map([[
    "g" as GroupId,
    { holder: "d2" as DaemonId, fencing: 7 as FencingNumber },
  ]]);
  const status = adminStatus(board, 9 as Timestamp);
  expect(AdminStatusSchema.parse(JSON.parse(JSON.stringify(status))))
    .toMatchObject({
      id: "d1",
      state: "serving",
      revision: -1,
      leases: [{ group: "g", holder: "d2", fencing: 7 }],
    });
});
