import { expect, test } from "vitest";
import { ENGINE_PACE, placementRequest } from "../../testing/pool_fixtures.ts";
import { engineMs, worthPerMs } from "./engine_worth.ts";

test("a prompt's engine time holds its prefill and its fraction of the passes, and a higher rank is worth more", () => {
  const rows = [
    { promptTokens: 5_000, answerTokens: 1_600 },
    { promptTokens: 45_000, answerTokens: 1_000 },
    { promptTokens: 154_000, answerTokens: 800 },
    { promptTokens: 600_000, answerTokens: 800 },
  ].map((need) => {
    const ms = engineMs(need, ENGINE_PACE);
    const ask = placementRequest("a", need);
    return [Math.round(ms), Number(worthPerMs(ask, ms).toFixed(1))];
  });
  expect(rows).toMatchInlineSnapshot(`
    [
      [
        197,
        25.3,
      ],
      [
        707,
        35.4,
      ],
      [
        3758,
        21.2,
      ],
      [
        40507,
        7.5,
      ],
    ]
  `);
  const [urgent, other] = [0, 1].map((rank) =>
    worthPerMs(placementRequest("a", { rank }), 100)
  );
  expect(urgent).toBe(2 * other!);
});
