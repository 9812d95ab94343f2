import { describe, expect, test } from "vitest";
import type { DomainId } from "../../core/id.ts";
import { peerCard } from "../../testing/fake_gateway_fleet.ts";
import { chooseEntries } from "./entry_choice.ts";

const a = "a" as DomainId;
const b = "b" as DomainId;
const CALLER = { domain: "a", region: "r" };

describe("the daemons that a caller should use", () => {
  test("those of its failure domain, as long as two are open", () => {
    const cards = [
      peerCard("a1", { domain: a }),
      peerCard("a2", { domain: a }),
      peerCard("b1", { domain: b }),
    ];
    expect(chooseEntries(cards, CALLER)).toEqual(["a1:80", "a2:80"]);
    expect(chooseEntries(cards.slice(1), CALLER)).toEqual(["a2:80", "b1:80"]);
  });

  test("not the slow ones", () => {
    const cards = [
      peerCard("a1", { domain: a, slow: true }),
      peerCard("a2", { domain: a }),
      peerCard("a3", { domain: a }),
    ];
    expect(chooseEntries(cards, CALLER)).toEqual(["a2:80", "a3:80"]);
  });

  test("those of other domains before slow ones of its own", () => {
    const cards = [
      peerCard("a1", { domain: a, slow: true }),
      peerCard("a2", { domain: a, slow: true }),
      peerCard("b1", { domain: b }),
      peerCard("b2", { domain: b }),
    ];
    expect(chooseEntries(cards, CALLER)).toEqual(["b1:80", "b2:80"]);
  });

  test("slow ones where no others are open", () => {
    const cards = [
      peerCard("a1", { domain: a, slow: true }),
      peerCard("a2", { domain: a, slow: true }),
      peerCard("b1", { domain: b, open: false }),
    ];
    expect(chooseEntries(cards, CALLER)).toEqual(["a1:80", "a2:80"]);
  });
});
