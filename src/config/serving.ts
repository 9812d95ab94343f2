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

const positive = z.number().int().positive();

/** A model that teams may ask for. */
export const ModelSchema = z.object({
  id: idSchema<ModelId>(),
  versions: z.array(idSchema<VersionId>()).min(1),
  /** The version that runs where a request names none. */
  version: idSchema<VersionId>(),
  adapters: z.array(idSchema<AdapterId>()),
}).readonly();
/** A model that teams may ask for. */
export type Model = z.infer<typeof ModelSchema>;

/** Engines that run the same weights under one lease holder. */
export const GroupSchema = z.object({
  id: idSchema<GroupId>(),
  loaded: z.array(LoadedSchema).min(1),
  /** Whether its engines refuse an order with an old fencing number. */
  checksFencing: z.boolean(),
  /** Longest time that an order may take on its way. */
  orderDelayMs: positive,
}).readonly();
/** Engines that run the same weights under one lease holder. */
export type Group = z.infer<typeof GroupSchema>;

/** A plain service. */
export const ServiceSchema = z.object({
  id: idSchema<ServiceId>(),
  /** `METHOD /path` patterns of calls that may not be repeated; `*` matches one path part. */
  once: z.array(z.string()),
  timeoutMs: positive,
}).readonly();
/** A plain service. */
export type Service = z.infer<typeof ServiceSchema>;

/** A team, its tokens and what it may use. */
export const TeamSchema = z.object({
  id: idSchema<TeamId>(),
  share: positive,
  /** SHA-256 digests of the team's bearer tokens; none means that the team needs no token. */
  tokenDigests: z.array(idSchema<Digest>()),
  /** Models the team may use; empty means all. */
  models: z.array(idSchema<ModelId>()),
  /** Services the team may use; empty means all. */
  services: z.array(idSchema<ServiceId>()),
}).readonly();
/** A team, its tokens and what it may use. */
export type Team = z.infer<typeof TeamSchema>;

/** How urgent a kind of request is. */
export const RequestClassSchema = z.object({
  id: idSchema<ClassId>(),
  /** 0 is the most urgent, 9 the least. */
  urgency: z.number().int().min(0).max(9),
  /** Deadline of a request that names none. */
  deadlineMs: positive,
  maxDeadlineMs: positive,
}).readonly();
/** How urgent a kind of request is. */
export type RequestClass = z.infer<typeof RequestClassSchema>;

/** The configuration that operators publish, after merging and checking. */
export const ServingConfigSchema = z.object({
  models: z.array(ModelSchema),
  groups: z.array(GroupSchema),
  services: z.array(ServiceSchema),
  teams: z.array(TeamSchema),
  classes: z.array(RequestClassSchema).min(1),
  limits: LimitsSchema,
}).readonly();
/** The configuration that operators publish, after merging and checking. */
export type ServingConfig = z.infer<typeof ServingConfigSchema>;
