import type { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { ServiceId, UpstreamId, VmId } from "../../core/id.ts";
import { type Refusal, REFUSALS } from "../../core/reason.ts";
import type { Timestamp } from "../../core/time.ts";
import type { JobId } from "../../scheduling/pool/pool_job.ts";
import { idSchema } from "../../wire/brands.ts";
import { deflateJson, inflateJson } from "./deflated.ts";
import { ContentShareSchema } from "../contents/content_record.ts";
import { ContentReportSchema } from "../contents/content_report.ts";
import type { ConfigVersion } from "../serving/serving_config.ts";
import type { DomainId, RequestId } from "../../core/id.ts";

/** How a daemon introduces itself to others. */
export const PeerCardSchema = z.object({
  vm: idSchema<VmId>(),
  /** Host and port of the datagrams between daemons. */
  peer: z.string(),
  /** Host and port for clients. */
  front: z.string(),
  domain: idSchema<DomainId>(),
  region: z.string(),
  /** Processor share; the strongest daemons place for the others. */
  power: z.number(),
  /** Unix time in ms of the process's start, to tell a new one from the old one. */
  startedAt: z.number(),
  /** Whether clients may be sent there. */
  open: z.boolean(),
  /** Whether the VM runs slowly at present, and should serve only where no other one can. */
  slow: z.boolean().default(false),
}).readonly();
/** How a daemon introduces itself to others. */
export type PeerCard = z.infer<typeof PeerCardSchema>;

const upstream = idSchema<UpstreamId>();
const TicketSchema = z.object({ upstream, tokens: z.number() }).readonly();
const JobSchema = z.object({
  id: z.string().transform((id) => id as JobId),
  vm: idSchema<VmId>(),
  service: idSchema<ServiceId>(),
  kind: z.enum(["prompt", "call"]),
  upstream,
  helpers: z.array(upstream).readonly(),
  tickets: z.array(TicketSchema).readonly(),
  tokens: z.number(),
  partMs: z.number(),
  pauseMs: z.number(),
  writing: z.boolean(),
  placedAt: z.number().transform((at) => at as Timestamp),
}).readonly();

const EntrySchema = z.object({
  id: upstream,
  service: idSchema<ServiceId>(),
  address: z.string(),
  domain: idSchema<DomainId>(),
  slots: z.number(),
  leaving: z.boolean(),
  startedAt: z.number(),
}).readonly();

const ChangeSchema = z.discriminatedUnion("type", [
  z.object({ type: z.literal("entry"), entry: EntrySchema }),
  z.object({ type: z.literal("gone"), id: upstream }),
]);

const AskSchema = z.object({
  job: z.string().transform((id) => id as JobId),
  req: idSchema<RequestId>(),
  vm: idSchema<VmId>(),
  domain: z.string(),
  service: idSchema<ServiceId>(),
  kind: z.enum(["prompt", "call"]),
  promptTokens: z.number(),
  answerTokens: z.number(),
  targetMs: z.number(),
  pauseMs: z.number(),
  leftMs: z.number(),
  rank: z.number(),
  digest: z.string(),
  avoid: z.array(upstream).readonly(),
  closed: z.array(
    z.object({ upstream, forMs: z.number().optional() }).readonly(),
  ).readonly().default([]),
}).readonly();

const GrantSchema = z.object({
  job: JobSchema,
  addresses: z.record(upstream, z.string()),
  priority: z.number(),
  expectMs: z.number(),
}).readonly();

const StoreProgressSchema = z.object({
  /** The newest configuration version that the sender has; 0 for none. */
  version: z.number().transform((one) => one as ConfigVersion),
  /** How long ago that version was known to be the newest. */
  versionAgeMs: z.number(),
  /** How far the sender has read the register of upstreams; -1 for not at all. */
  offset: z.number(),
  /** How old that reading is. */
  ageMs: z.number(),
}).readonly();
/** How much a daemon knows of what the platform's store holds. */
export type StoreProgress = z.infer<typeof StoreProgressSchema>;

/** How far a daemon knows its leader's list of live daemons. */
const RosterPositionSchema = z.object({
  epoch: z.string(),
  seq: z.number(),
}).readonly();

const RosterUpdateSchema = z.object({
  epoch: z.string(),
  seq: z.number(),
  since: z.number().optional(),
  joined: z.array(PeerCardSchema).readonly(),
  gone: z.array(idSchema<VmId>()).readonly(),
}).readonly();

const PeerMessageSchema = z.discriminatedUnion("type", [
  /** Says that a daemon lives and what it runs, to the one that places. */
  z.object({
    type: z.literal("heartbeat"),
    from: PeerCardSchema,
    progress: StoreProgressSchema,
    /** How far the sender knows the receiver's list of live daemons; absent where it wants no list. */
    roster: RosterPositionSchema.optional(),
    jobs: z.array(JobSchema).readonly(),
    /** The engines that the leader knows to be slow. */
    paces: z.array(z.object({ upstream, pace: z.number() })).readonly()
      .optional(),
    contents: ContentShareSchema.optional(),
  }),
  /** Answers a heartbeat. */
  z.object({
    type: z.literal("heartbeat_reply"),
    from: PeerCardSchema,
    progress: StoreProgressSchema,
    leader: idSchema<VmId>(),
    roster: RosterUpdateSchema.optional(),
    entries: z.array(EntrySchema).readonly().optional(),
    contents: ContentShareSchema.optional(),
  }),
  /** Passes on changes of the register that were read after `since`. */
  z.object({
    type: z.literal("changes"),
    from: idSchema<VmId>(),
    progress: StoreProgressSchema,
    since: z.number(),
    changes: z.array(ChangeSchema).readonly(),
  }),
  z.object({ type: z.literal("ask"), ask: AskSchema, reply: z.string() }),
  /** Says that an ask has come, and that its place will come later. */
  z.object({
    type: z.literal("wait"),
    job: z.string().transform((id) => id as JobId),
  }),
  z.object({ type: z.literal("grant"), grant: GrantSchema }),
  z.object({
    type: z.literal("deny"),
    job: z.string().transform((id) => id as JobId),
    code: z.enum(Object.keys(REFUSALS) as [Refusal, ...Refusal[]]),
    detail: z.string(),
    retryAfterMs: z.number().optional(),
  }),
  /** Passes on that the process of an upstream has said that it leaves. */
  z.object({
    type: z.literal("leaving"),
    from: idSchema<VmId>(),
    upstream,
    /** Unix time in ms of the process's start. */
    startedAt: z.number(),
  }),
  /** Passes on where a job was placed, to those who place or would place next. */
  z.object({ type: z.literal("placed"), job: JobSchema }),
  /** Says how a job goes on. */
  z.object({
    type: z.literal("progress"),
    job: z.string().transform((id) => id as JobId),
    upstream,
    phase: z.enum(["started", "ended", "failed"]),
    /** Whether no one took a connection at the upstream's address. */
    unreachable: z.boolean().optional(),
    content: ContentReportSchema.optional(),
  }),
]);
/** What daemons tell each other. */
export type PeerMessage = z.infer<typeof PeerMessageSchema>;

/** Messages from this size on are deflated: lists of daemons or upstreams, which repeat themselves. */
const DEFLATE_BYTES = 1_024;
/** Largest message; the list of the largest system is a tenth of it. */
const MAX_MESSAGE_BYTES = 1 << 20;
/** Writes a message as one datagram: JSON, deflated where it is long. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  return deflateJson(message, { fromBytes: DEFLATE_BYTES });
}

/** Reads a datagram; fails on whatever is not one of the messages. */
export function decodePeerMessage(data: Buffer): Result<PeerMessage, string> {
  return inflateJson(data, { maxBytes: MAX_MESSAGE_BYTES }).andThen((value) => {
    const parsed = PeerMessageSchema.safeParse(value);
    return parsed.success ? ok(parsed.data) : err(parsed.error.message);
  });
}
