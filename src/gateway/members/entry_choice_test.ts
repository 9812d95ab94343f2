import { describe, expect, test } from "vitest";
import type { DomainId } from "../../core/id.ts";
import { peerCard } from "../../testing/gateway_values.ts";
import { chooseEntries } from "./entry_choice.ts";

const a = "a" as DomainId;
const b = "b" as DomainId;
const CALLER = { domain: "a", region: "r" };

describe("chooseEntries", () => {
  test("returns the daemons of the caller's failure domain while at least two are open", () => {
    const cards = [
      peerCard("a1", { domain: a }),
      peerCard("a2", { domain: a }),
      peerCard("b1", { domain: b }),
    ];
    expect(chooseEntries(cards, CALLER)).toEqual(["a1:80", "a2:80"]);
    expect(chooseEntries(cards.slice(1), CALLER)).toEqual(["a2:80", "b1:80"]);
  });

  test("leaves out slow daemons if two others are open", () => {
    const cards = [
      peerCard("a1", { domain: a, slow: true }),
      peerCard("a2", { domain: a }),
      peerCard("a3", { domain: a }),
    ];
    expect(chooseEntries(cards, CALLER)).toEqual(["a2:80", "a3:80"]);
  });

  test("prefers daemons of other domains to slow ones of the caller's domain", () => {
    const cards = [
      peerCard("a1", { domain: a, slow: true }),
      peerCard("a2", { domain: a, slow: true }),
      peerCard("b1", { domain: b }),
      peerCard("b2", { domain: b }),
    ];
    expect(chooseEntries(cards, CALLER)).toEqual(["b1:80", "b2:80"]);
  });

  test("returns slow daemons if no others are open", () => {
    const cards = [
      peerCard("a1", { domain: a, slow: true }),
      peerCard("a2", { domain: a, slow: true }),
      peerCard("b1", { domain: b, open: false }),
    ];
    expect(chooseEntries(cards, CALLER)).toEqual(["a1:80", "a2:80"]);
  });
});
