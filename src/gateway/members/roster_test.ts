import { describe, expect, test } from "vitest";
import type { VmId } from "../../core/id.ts";
import { peerCard } from "../../testing/gateway_values.ts";
import { NO_ROSTER, Roster } from "./roster.ts";

const EPOCH = "leader/77";

function names(count: number): string[] {
  return Array.from({ length: count }, (_, i) => `vm-${i}`);
}

function rosterOf(vms: readonly string[]): Roster {
  const roster = Roster.create(EPOCH);
  roster.update(vms.map((vm) => peerCard(vm)));
  return roster;
}

describe("Roster", () => {
  test("a daemon without a roster, or with another leader's, gets the whole list", () => {
    const roster = rosterOf(names(3));
    expect(roster.since(NO_ROSTER).since).toBeUndefined();
    expect(roster.since(NO_ROSTER).joined).toHaveLength(3);
    expect(roster.since({ epoch: "leader/78", seq: 3 }).joined).toHaveLength(3);
  });

  test("after one of 195 daemons leaves, an update holds just that change", () => {
    const roster = rosterOf(names(195));
    const { epoch, seq } = roster.since(NO_ROSTER);
    roster.update(names(194).map((vm) => peerCard(vm)));
    expect(roster.since({ epoch, seq })).toEqual({
      epoch,
      seq: seq + 1,
      since: seq,
      joined: [],
      gone: ["vm-194" as VmId],
    });
    expect(JSON.stringify(roster.since({ epoch, seq })).length)
      .toBeLessThan(200);
  });

  test("a daemon that left and rejoined is listed once, with its current card", () => {
    const roster = rosterOf(names(2));
    const { epoch, seq } = roster.since(NO_ROSTER);
    roster.update([peerCard("vm-0")]);
    roster.update([peerCard("vm-0"), peerCard("vm-1", { startedAt: 5 })]);
    const { joined, gone } = roster.since({ epoch, seq });
    expect(joined.map((card) => card.startedAt)).toEqual([5]);
    expect(gone).toEqual([]);
  });

  test("a daemon that closes to clients is recorded as a change", () => {
    const roster = rosterOf(["vm-0"]);
    const { epoch, seq } = roster.since(NO_ROSTER);
    roster.update([peerCard("vm-0", { open: false })]);
    expect(roster.since({ epoch, seq }).joined).toHaveLength(1);
  });

  test("a daemon that is further behind than the kept changes gets the whole list", () => {
    const roster = rosterOf(["vm-0"]);
    const { epoch, seq } = roster.since(NO_ROSTER);
    for (let i = 0; i < 600; i += 1) {
      roster.update([peerCard("vm-0", { open: i % 2 === 1 })]);
    }
    expect(roster.since({ epoch, seq }).since).toBeUndefined();
  });
});
