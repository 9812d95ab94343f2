import { expect, test } from "vitest";
import { REFUSALS, RetrySchema } from "../core/reason.ts";
import type { ServiceId, TeamId } from "../core/id.ts";
import type { Timestamp } from "../core/time.ts";
import { ServiceRooms } from "../scheduling/pool/service_rooms.ts";
import { poolJob } from "../testing/pool_fixtures.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";

test("every refusal code and retry cause has a counter before its first use", async () => {
  const text = await GatewayMetrics.create().render({});
  for (const code of Object.keys(REFUSALS)) {
    expect(text).toContain(`parsleyfield_problems_total{code="${code}"`);
  }
  for (const cause of RetrySchema.options) {
    expect(text).toContain(`parsleyfield_retries_total{cause="${cause}"}`);
  }
});

test("the number of time series stays bounded for any prompt size and latency", async () => {
  const metrics = GatewayMetrics.create();
  for (let tokens = 0; tokens < 1_000_000; tokens += 1_000) {
    metrics.firstEvent(tokens, tokens / 100);
    metrics.placed(tokens, 1);
    metrics.wholeAnswer(tokens, tokens / 50);
  }
  const text = await metrics.render({ peers: 3 });
  expect(text.split("\n").length).toBeLessThan(400);
});

test("the teams that use most have a time series, and returns are counted", async () => {
  const rooms = ServiceRooms.create();
  const service = "pool" as ServiceId;
  const teams = Array.from({ length: 500 }, (_, i) => ({
    id: `t${i}` as TeamId,
  }));
  rooms.configure({ teams, shortestTimeoutMs: 9_000 }, new Set([service]));
  const now = 1_000 as Timestamp;
  teams.forEach(({ id: team }, i) => {
    rooms.charge(poolJob(team, "e", { team, engineMs: i }), now);
  });
  const outcome = {
    booked: true,
    came: "in_time",
    outcome: "admitted",
  } as const;
  rooms.of(service).returns.counts.add(outcome);
  const metrics = GatewayMetrics.create();
  await metrics.render({}, { rooms, now });
  const text = await metrics.render({}, { rooms, now });
  const series = text.split("\n")
    .filter((line) => /^parsleyfield_(team_part|returns_total){/.test(line));
  expect(series.length).toBe(33);
  expect(series[0]).toMatchInlineSnapshot(
    `"parsleyfield_returns_total{booked="true",came="in_time",outcome="admitted"} 1"`,
  );
  expect(series.find((line) => line.includes("t499"))).toBeDefined();
});
