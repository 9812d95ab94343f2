import { describe, expect, test } from "vitest";
import type { DomainId, VmId } from "../../core/id.ts";
import { peerCard } from "../../testing/gateway_values.ts";
import { fetchSource, servingReaders } from "./serving_readers.ts";

const a = "a" as DomainId;
const cards = [
  peerCard("weak", { power: 0.3 }),
  peerCard("strong", { power: 0.9 }),
  peerCard("strong-too", { power: 0.9 }),
  peerCard("closed", { power: 2, open: false }),
  peerCard("slow", { power: 2, slow: true }),
  peerCard("elsewhere", { power: 2, domain: "b" as DomainId }),
];

describe("the readers of a failure domain", () => {
  test("are the strongest of its daemons that are open and not slow", () => {
    const names = servingReaders(cards, a).map((card) => card.vm);
    expect([...names].sort()).toEqual(["strong", "strong-too"]);
  });

  test("share the fetches of the other daemons about evenly", () => {
    const readers = servingReaders(cards, a);
    const announcer = peerCard("leader");
    const first = Array.from({ length: 40 }, (_, i) =>
      fetchSource(readers, {
        self: `vm-${i}` as VmId,
        announcer,
        attempt: 0,
        leader: announcer.vm,
      }).vm);
    const share = first.filter((vm) => vm === "strong").length;
    expect(share).toBeGreaterThan(8);
    expect(share).toBeLessThan(32);
  });

  test("are tried in turn, then the daemon that announced the version", () => {
    const readers = servingReaders(cards, a);
    const announcer = peerCard("leader");
    const tried = [0, 1, 2].map((attempt) =>
      fetchSource(readers, {
        self: "vm-1" as VmId,
        announcer,
        attempt,
        leader: announcer.vm,
      }).vm
    );
    expect(new Set(tried)).toEqual(new Set(["strong", "strong-too", "leader"]));
    expect(tried[2]).toBe("leader");
  });

  test("do not include the leader if there is another reader", () => {
    const readers = servingReaders(cards, a);
    const announcer = peerCard("leader");
    const leader = "strong" as VmId;
    const tried = [0, 1].map((attempt) =>
      fetchSource(readers, { self: "vm-1" as VmId, announcer, attempt, leader })
        .vm
    );
    expect(tried).toEqual(["strong-too", "leader"]);
  });
});
