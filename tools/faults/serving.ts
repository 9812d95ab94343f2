import {
  type ServingConfig,
  ServingConfigSchema,
} from "../../src/config/serving.ts";
import type { AdapterId, ModelId, VersionId } from "../../src/core/id.ts";
import type { Loaded } from "../../src/wire/engine.ts";

export const MODEL = "sage" as ModelId;
const VERSION = "1" as VersionId;

/** Weights of a group under the configuration with this number. */
export function loadedBy(config: number): readonly Loaded[] {
  const adapters = [`ledger-${config}` as AdapterId];
  return [{ model: MODEL, version: VERSION, adapters }];
}

/** The configuration with this number; group `b` ignores fencing numbers. */
export function servingBy(config: number): ServingConfig {
  const loaded = loadedBy(config);
  const group = { loaded, orderDelayMs: 2_000 };
  return ServingConfigSchema.parse({
    models: [{
      id: MODEL,
      versions: [VERSION],
      version: VERSION,
      adapters: [],
    }],
    groups: [
      { id: "a", checksFencing: true, ...group },
      { id: "b", checksFencing: false, ...group },
    ],
    services: [
      { id: "stock", once: ["POST /reservations"], timeoutMs: 2_000 },
    ],
    teams: [
      { id: "makers", share: 1, tokenDigests: [], models: [], services: [] },
    ],
    classes: [{
      id: "quick",
      urgency: 1,
      deadlineMs: 10_000,
      maxDeadlineMs: 10_000,
    }],
    limits: {
      upstreamSilenceMs: 2_000,
      keyWindowMs: 60_000,
      clockSkewMs: 1_000,
      entryMaxAgeMs: 2_000,
    },
  });
}
