import { expect, test } from "vitest";
import { REFUSALS, RetrySchema } from "../core/reason.ts";
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
