import { expect, test } from "vitest";
import type { GroupId, Offset, RecordId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { LeaseFold } from "./lease_fold.ts";

class Log {
  readonly fold = LeaseFold.create();
  #next = 0;

  /** Appends a record of group `g`; returns whether it was accepted. */
  put(record: Record<string, unknown>): boolean {
    const offset = this.#next as Offset;
    this.#next += 1;
    const id = `r${offset}` as RecordId;
    const value = { id, group: "g", ttlMs: 10, ...record };
    const at = offset as number as Timestamp;
    return this.fold.foldRecord({ offset, at, id, value })
      .some((decision) => decision.accepted);
  }

  get lease() {
    return this.fold.state?.get("g" as GroupId);
  }
}

test("a grant is accepted only if its base is the newest record of the previous lease", () => {
  const log = new Log();
  expect([
    log.put({ type: "lease_grant", holder: "a", base: -1 }),
    log.put({ type: "lease_grant", holder: "b", base: -1 }),
    log.put({ type: "lease_renewal", fencing: 0 }),
    log.put({ type: "lease_grant", holder: "b", base: 0 }),
    log.put({ type: "lease_grant", holder: "b", base: 2 }),
    log.put({ type: "lease_renewal", fencing: 0 }),
    log.put({ type: "lease_release", fencing: 0 }),
    log.put({ type: "lease_release", fencing: 4 }),
    log.put({ type: "lease_renewal", fencing: 4 }),
  ]).toEqual([true, false, true, false, true, false, false, true, false]);
  expect(log.lease).toMatchInlineSnapshot(`
    {
      "fencing": 4,
      "holder": "b",
      "last": 7,
      "released": true,
      "ttlMs": 10,
    }
  `);
});

test("a late checkpoint reverts no lease, and a new reader needs a checkpoint that covers its start", () => {
  const log = new Log();
  log.put({ type: "lease_grant", holder: "a", base: -1 });
  const old = log.lease!;
  log.put({ type: "lease_grant", holder: "b", base: 0 });
  const late = { type: "lease_checkpoint", covers: 1, leases: [["g", old]] };
  log.put(late);
  expect(log.lease?.holder).toBe("b");
  const fresh = new Log();
  fresh.fold.restart(2 as Offset);
  const value = { id: "r2", ...late };
  const entry = {
    offset: 2 as Offset,
    at: 2 as Timestamp,
    id: "r2" as RecordId,
    value,
  };
  fresh.fold.foldRecord(entry);
  expect(fresh.fold.state).toBeUndefined();
  const whole = { ...value, covers: 2, leases: [["g", log.lease]] };
  fresh.fold.foldRecord({ ...entry, value: whole });
  expect(fresh.lease).toEqual(log.lease);
});
