import { z } from "zod";
import type {
  PromptPartId,
  RequestId,
  ServiceId,
  TeamId,
  UpstreamId,
  VmId,
} from "../../core/id.ts";
import type { Timestamp } from "../../core/time.ts";
import type { JobId } from "../../scheduling/pool/pool_job.ts";
import {
  addressSchema,
  figureSchema,
  millisSchema,
} from "../../wire/bounds.ts";
import { idSchema } from "../../wire/brands.ts";

const upstream = idSchema<UpstreamId>();
/** Absent in messages of earlier builds, for requests without a key, and if it can't be used. */
const teamSchema = idSchema<TeamId>().optional().catch(undefined);
const TicketSchema = z.object({ upstream, tokens: z.number() }).readonly();
/** Absent in messages of earlier builds, and where engines hold nothing beyond a request. */
const LeadingPartsSchema = z.array(
  z.object({ id: idSchema<PromptPartId>(), tokens: figureSchema }).readonly(),
).readonly();
/** A placed job. */
export const JobSchema = z.object({
  id: z.string().transform((id) => id as JobId),
  vm: idSchema<VmId>(),
  service: idSchema<ServiceId>(),
  team: teamSchema,
  kind: z.enum(["prompt", "call"]),
  upstream,
  helpers: z.array(upstream).readonly(),
  tickets: z.array(TicketSchema).readonly(),
  tokens: z.number(),
  partMs: millisSchema,
  /** Absent in messages of earlier builds. */
  engineMs: millisSchema.optional().catch(undefined),
  pauseMs: millisSchema,
  writing: z.boolean(),
  leadingParts: LeadingPartsSchema.optional(),
  placedAt: z.number().transform((at) => at as Timestamp),
}).readonly();

/** Engine time that is booked for a refused caller, and when it was told to return. */
export const BookingSchema = z.object({
  service: idSchema<ServiceId>(),
  digest: z.string(),
  leftMs: millisSchema,
  inMs: millisSchema,
  engineMs: millisSchema,
}).readonly();

/** A placement request. */
export const AskSchema = z.object({
  job: z.string().transform((id) => id as JobId),
  req: idSchema<RequestId>(),
  vm: idSchema<VmId>(),
  domain: z.string(),
  service: idSchema<ServiceId>(),
  team: teamSchema,
  kind: z.enum(["prompt", "call"]),
  promptTokens: figureSchema,
  answerTokens: figureSchema,
  targetMs: millisSchema,
  pauseMs: millisSchema,
  leftMs: millisSchema,
  rank: z.number(),
  digest: z.string(),
  /** Absent in messages of earlier builds. */
  sharedParts: z.array(idSchema<PromptPartId>()).readonly().default([]),
  leadingParts: LeadingPartsSchema.optional(),
  avoid: z.array(upstream).readonly(),
  closed: z.array(
    z.object({ upstream, forMs: millisSchema.optional() }).readonly(),
  ).readonly().default([]),
}).readonly();

/** A grant of a placement request. */
export const GrantSchema = z.object({
  job: JobSchema,
  addresses: z.record(upstream, addressSchema),
  priority: z.number(),
  expectMs: millisSchema,
  savedMs: millisSchema.optional(),
  counted: z.boolean().optional(),
}).readonly();
