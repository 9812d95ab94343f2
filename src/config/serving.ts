import { z } from "zod";
import type {
  AdapterId,
  ClassId,
  Digest,
  GroupId,
  ModelId,
  ServiceId,
  TeamId,
  VersionId,
} from "../core/id.ts";
import { idSchema } from "../wire/brands.ts";
import { LoadedSchema } from "../wire/engine.ts";
import { LimitsSchema } from "./limits.ts";

const MAX_DURATION_MS = 86_400_000;
const MAX_LIST_ITEMS = 1_000;
const MAX_SHARE = 1_000_000;

const durationMs = z.number().int().min(1).max(MAX_DURATION_MS);
const tokenDigest = z.string().regex(/^[0-9a-f]{64}$/)
  .meta({ allowed: "64 lowercase hexadecimal digits" })
  .transform((value) => value as Digest);
const callPattern = z.string().regex(/^([A-Z]+|\*) \/\S*$/)
  .meta({ allowed: "METHOD /path" });

/** Keys of `[model.NAME]` that the published configuration has unchanged. */
export const modelKeys = {
  versions: z.array(idSchema<VersionId>()).min(1).max(MAX_LIST_ITEMS)
    .describe("Versions of the model that may run."),
  version: idSchema<VersionId>()
    .describe(
      "The version that runs where a request names none; one of `versions`.",
    ),
};

/** A model, its versions and adapters. */
export const ModelSchema = z.object({
  id: idSchema<ModelId>(),
  ...modelKeys,
  adapters: z.array(idSchema<AdapterId>()),
}).readonly();
/** A model, its versions and adapters. */
export type Model = z.infer<typeof ModelSchema>;

/** Keys of `[group.NAME]` that the published configuration has unchanged. */
export const groupKeys = {
  checksFencing: z.boolean()
    .describe(
      "Whether its engines refuse an order with an old fencing number.",
    ),
  orderDelayMs: durationMs
    .describe(
      "Longest time that an order may take on its way, in milliseconds.",
    ),
};

/** Engines that run the same weights under one lease holder. */
export const GroupSchema = z.object({
  id: idSchema<GroupId>(),
  loaded: z.array(LoadedSchema).min(1),
  ...groupKeys,
}).readonly();
/** Engines that run the same weights under one lease holder. */
export type Group = z.infer<typeof GroupSchema>;

/** Keys of `[service.NAME]`. */
export const serviceKeys = {
  once: z.array(callPattern).max(MAX_LIST_ITEMS).default([])
    .describe(
      "Calls that may not be repeated; `*` stands for any method or one path part. All others are idempotent.",
    ),
  timeoutMs: durationMs.default(10_000)
    .describe("Time that one call may take, in milliseconds."),
};

/** A plain service: HTTP calls that are no prompts. */
export const ServiceSchema = z.object({
  id: idSchema<ServiceId>(),
  ...serviceKeys,
}).readonly();
/** A plain service: HTTP calls that are no prompts. */
export type Service = z.infer<typeof ServiceSchema>;

/** Keys of `[team.NAME]`. */
export const teamKeys = {
  share: z.number().int().min(1).max(MAX_SHARE)
    .describe(
      "The team's part of the fleet against the sum of all shares; admission does not use it yet.",
    ),
  tokenDigests: z.array(tokenDigest).max(MAX_LIST_ITEMS).default([])
    .describe(
      "SHA-256 digests of the team's bearer tokens; none means that the team needs no token.",
    ),
  models: z.array(idSchema<ModelId>()).max(MAX_LIST_ITEMS).default([])
    .describe("Models the team may use; none means all."),
  services: z.array(idSchema<ServiceId>()).max(MAX_LIST_ITEMS).default([])
    .describe("Services the team may use; none means all."),
};

/** A team, its tokens, and the models and services that it may use. */
export const TeamSchema = z.object({ id: idSchema<TeamId>(), ...teamKeys })
  .readonly();
/** A team, its tokens, and the models and services that it may use. */
export type Team = z.infer<typeof TeamSchema>;

/** Keys of `[class.NAME]`. */
export const classKeys = {
  urgency: z.number().int().min(0).max(9)
    .describe("0 is the most urgent, 9 the least."),
  deadlineMs: durationMs
    .describe("Deadline of a request that names none, in milliseconds."),
  maxDeadlineMs: durationMs
    .describe(
      "Longest deadline that a request may name, in milliseconds; at least `deadline_ms`.",
    ),
};

/** A request class: urgency and deadlines of a kind of request. */
export const RequestClassSchema = z.object({
  id: idSchema<ClassId>(),
  ...classKeys,
}).readonly();
/** A request class: urgency and deadlines of a kind of request. */
export type RequestClass = z.infer<typeof RequestClassSchema>;

/** The configuration that operators publish, merged and validated. */
export const ServingConfigSchema = z.object({
  models: z.array(ModelSchema),
  groups: z.array(GroupSchema),
  services: z.array(ServiceSchema),
  teams: z.array(TeamSchema),
  classes: z.array(RequestClassSchema).min(1),
  limits: LimitsSchema,
}).readonly();
/** The configuration that operators publish, merged and validated. */
export type ServingConfig = z.infer<typeof ServingConfigSchema>;
