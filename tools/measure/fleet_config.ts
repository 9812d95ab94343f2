import type {
  AdapterId,
  ClassId,
  DomainId,
  GroupId,
  Incarnation,
  ModelId,
  TeamId,
  VersionId,
  VmId,
} from "../../src/core/id.ts";
import {
  type ServingConfig,
  ServingConfigSchema,
} from "../../src/config/serving.ts";
import type { Loaded } from "../../src/wire/engine.ts";
import type { Vm } from "../../src/wire/vm_list.ts";
import type { Scenario } from "./scenario.ts";
import { teamShares } from "./workload.ts";

export const MODEL = "assistant" as ModelId;
export const VERSION = "1" as VersionId;
export const CLASS = "prompt" as ClassId;
const GROUP = "assistants" as GroupId;
const DEADLINE_MS = 600_000;
const SHARE_SCALE = 1_000;

/** What every engine has loaded. */
export const LOADED: readonly Loaded[] = [{
  model: MODEL,
  version: VERSION,
  adapters: [] as AdapterId[],
}];

/** Names a team by its number. */
export function teamId(team: number): TeamId {
  return `team-${team}` as TeamId;
}

/** The configuration that is in force during a run. */
export function servingConfig(scenario: Scenario): ServingConfig {
  const teams = teamShares(scenario.teams).map((share, team) => ({
    id: teamId(team),
    share: Math.round(share * SHARE_SCALE),
    tokenDigests: [],
    models: [],
    services: [],
  }));
  return ServingConfigSchema.parse({
    models: [{
      id: MODEL,
      versions: [VERSION],
      version: VERSION,
      adapters: [],
    }],
    groups: [{
      id: GROUP,
      loaded: LOADED,
      checksFencing: true,
      orderDelayMs: 5_000,
    }],
    services: [],
    teams,
    classes: [{
      id: CLASS,
      urgency: 5,
      deadlineMs: DEADLINE_MS,
      maxDeadlineMs: DEADLINE_MS,
    }],
    limits: {},
  });
}

/** The VM list's entry of an engine. */
export function engineVm(
  id: string,
  index: number,
  options: Readonly<
    { domains: number; incarnation: Incarnation; leaving: boolean }
  >,
): Vm {
  return {
    id: id as VmId,
    role: "engine",
    domain: domainOf(index, options.domains),
    address: `${id}:1`,
    incarnation: options.incarnation,
    state: options.leaving ? "leaving" : "live",
    group: GROUP,
  };
}

/** The failure domain of the VM with this number. */
export function domainOf(index: number, domains: number): DomainId {
  return `domain-${index % domains}` as DomainId;
}
