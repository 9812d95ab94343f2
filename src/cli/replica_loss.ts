import type { ServingConfig, Team } from "../config/serving.ts";
import type { GroupId, ModelId, VersionId } from "../core/id.ts";
import type { DaemonView } from "./fleet.ts";

/** A model in use that would be left without a replica. */
export type ReplicaLoss = Readonly<
  { model: ModelId; version?: VersionId; detail: string }
>;

/** Finds models in use that a change would leave without a group, or without a group that has live engines. */
export function findReplicaLosses(
  before: ServingConfig,
  after: ServingConfig,
  live: ReadonlySet<GroupId> | undefined,
): readonly ReplicaLoss[] {
  return before.models
    .filter(({ id }) => before.teams.some((team) => mayUse(team, id)))
    .flatMap(({ id }) => findLoss(id, { before, after, live }) ?? []);
}

/** Returns the groups that have a live engine according to at least one daemon. */
export function liveGroups(
  daemons: readonly DaemonView[],
): ReadonlySet<GroupId> {
  const upstreams = daemons.flatMap(({ status }) => status?.upstreams ?? []);
  return new Set(
    upstreams.filter(({ state }) => state === "live").flatMap(({ group }) =>
      group ?? []
    ),
  );
}

function findLoss(
  model: ModelId,
  change: Readonly<{
    before: ServingConfig;
    after: ServingConfig;
    live: ReadonlySet<GroupId> | undefined;
  }>,
): ReplicaLoss | undefined {
  const { before, after, live } = change;
  const groupsBefore = groupsOf(before, model);
  const groupsAfter = groupsOf(after, model);
  if (groupsBefore.length > 0 && groupsAfter.length === 0) {
    return { model, detail: `no group would load ${model}` };
  }
  const isLive = (group: GroupId) => live?.has(group) ?? true;
  if (groupsBefore.some(isLive) && !groupsAfter.some(isLive)) {
    return {
      model,
      detail: `no group with a live engine would load ${model}`,
    };
  }
  const version = defaultVersion(after, model);
  if (version === undefined || !loads(before, model, version)) return undefined;
  if (loads(after, model, version)) return undefined;
  return {
    model,
    version,
    detail: `no group would load version ${version} of ${model} any more`,
  };
}

function groupsOf(config: ServingConfig, model: ModelId): readonly GroupId[] {
  return config.groups
    .filter(({ loaded }) => loaded.some((item) => item.model === model))
    .map(({ id }) => id);
}

function defaultVersion(
  config: ServingConfig,
  model: ModelId,
): VersionId | undefined {
  return config.models.find(({ id }) => id === model)?.version;
}

function loads(
  config: ServingConfig,
  model: ModelId,
  version: VersionId,
): boolean {
  return config.groups.some(({ loaded }) =>
    loaded.some((item) => item.model === model && item.version === version)
  );
}

function mayUse(team: Team, model: ModelId): boolean {
  return team.models.length === 0 || team.models.includes(model);
}
