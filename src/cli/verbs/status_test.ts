import { expect, test } from "vitest";
import { createFakeContext } from "../fake_context.ts";
import { drain } from "./drain.ts";
import { status } from "./status.ts";

test("status queries every daemon that any daemon lists and reports stragglers", async () => {
  const fake = createFakeContext();
  fake.admin.add({ a: 5, b: 5, c: 4, d: 5 });
  fake.admin.daemons.delete("d:1");
  const report = (await status(fake.ctx))._unsafeUnwrap();
  expect(report.lines).toMatchInlineSnapshot(`
    [
      "revision in force: 5",
      "straggler c (id-c): has revision 4",
      "",
      "VM  DAEMON  DOMAIN  ADDRESS  STATE    REVISION  RUNNING  QUEUED  NOTE",
      "a   id-a    d       a:1      serving  5         1        0",
      "b   id-b    d       b:1      serving  5         1        0",
      "c   id-c    d       c:1      serving  4         1        0",
      "d   id-d    d       d:1      serving  5         1        0       does not answer, last heard of 4 s ago",
      "",
      "UPSTREAM  KIND    OF  DOMAIN  STATE  RUNNING  WAITING  LOADED",
      "engine-1  engine  g   a       live   2        0        m@1",
      "",
      "quarantined: 1",
      "  abc since 1970-01-01T00:00:00.000Z",
      "leases: 1",
      "  g held by id-a, fencing number 7",
    ]
  `);
});

test("a daemon unknown to the entry is found through another daemon", async () => {
  const fake = createFakeContext();
  fake.admin.add({ b: 5, c: 4 });
  const [b] = [...fake.admin.daemons.values()];
  fake.admin.add({ a: 5, b: 5 });
  if (b !== undefined) fake.admin.daemons.set("b:1", b);
  const report = (await status(fake.ctx))._unsafeUnwrap();
  expect(report.lines[1]).toBe("straggler c (id-c): has revision 4");
});

test("a leaving daemon that no longer responds is not a straggler", async () => {
  const fake = createFakeContext();
  fake.admin.add({ a: 5, b: 4, c: 4 });
  fake.admin.daemons.delete("b:1");
  fake.admin.daemons.delete("c:1");
  const [entry] = [...fake.admin.daemons.values()];
  if (entry === undefined) throw new Error("the fake fleet has no daemon");
  const peers = entry.peers.map((peer) => ({
    ...peer,
    state: peer.vm === "b" ? "leaving" as const : peer.state,
  }));
  fake.admin.daemons.set("a:1", { ...entry, peers });
  const report = (await status(fake.ctx))._unsafeUnwrap();
  expect(report.lines.filter((line) => line.startsWith("straggler"))).toEqual([
    "straggler c (id-c): does not answer, last heard of 4 s ago; has revision 4",
  ]);
});

test("a listed daemon from which no daemon has received a message is a straggler", async () => {
  const fake = createFakeContext();
  fake.admin.add({ a: 5, b: 5 });
  for (const [address, status] of fake.admin.daemons) {
    const listed = [...status.listed, "10.0.0.9:2"];
    fake.admin.daemons.set(address, { ...status, listed });
  }
  const report = (await status(fake.ctx))._unsafeUnwrap();
  expect(report.lines[1]).toBe(
    "straggler 10.0.0.9:2: is on the VM list, but nobody has heard from it",
  );
});

test("an entry that can't be reached is a failure", async () => {
  const fake = createFakeContext({ entry: "z:1" });
  const err = (await status(fake.ctx))._unsafeUnwrapErr();
  expect(err).toMatchObject({ code: "entry_unreachable", exit: "failure" });
  const none = createFakeContext({ entry: undefined });
  const missing = (await status(none.ctx))._unsafeUnwrapErr();
  expect(missing).toMatchObject({ code: "no_entry", exit: "bad_input" });
});

test("drain finds the daemon of a VM and waits until it has ended", async () => {
  const fake = createFakeContext();
  fake.admin.add({ a: 5, b: 5 });
  let statusCalls = 0;
  fake.admin.onStatus = () => {
    statusCalls += 1;
    if (statusCalls === 4) fake.admin.daemons.delete("b:1");
  };
  const report = (await drain(fake.ctx, { vm: "b", waitMs: 9_000 }))
    ._unsafeUnwrap();
  expect(fake.admin.drained).toEqual(["b:1"]);
  expect(report.data).toEqual({ vm: "b", id: "id-b", state: "ended" });
});

test("drain reports a daemon that has not ended in time, and lists the known daemons for an unknown VM", async () => {
  const fake = createFakeContext();
  fake.admin.add({ a: 5 });
  const late = (await drain(fake.ctx, { vm: "id-a", waitMs: 1_000 }))
    ._unsafeUnwrap();
  expect(late.exit).toBe("stragglers");
  const err = (await drain(fake.ctx, { vm: "x", waitMs: 0 }))
    ._unsafeUnwrapErr();
  expect(err).toMatchObject({
    exit: "bad_input",
    detail: "No daemon runs on x; known: a (id-a).",
  });
});
