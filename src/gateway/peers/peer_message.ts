import type { Buffer } from "node:buffer";
import type { Result } from "neverthrow";
import { z } from "zod";
import type { DomainId, UpstreamId, VmId } from "../../core/id.ts";
import { type Refusal, REFUSALS } from "../../core/reason.ts";
import type { JobId } from "../../scheduling/pool/pool_job.ts";
import {
  addressSchema,
  millisSchema,
  paceSchema,
  positiveCountSchema,
  unixMsSchema,
} from "../../wire/bounds.ts";
import { countSchema, idSchema } from "../../wire/brands.ts";
import { parseWith } from "../../wire/parse.ts";
import { parseReporting, soundList } from "../../wire/sound_list.ts";
import { deflateJson, inflateJson } from "./deflated.ts";
import { MESSAGE_DICTIONARY } from "./message_dictionary.ts";
import { ContentSyncSchema } from "../../suspects/content_record.ts";
import { ContentReportSchema } from "../contents/content_report.ts";
import { SilenceSchema } from "../contents/silence.ts";
import { ColdNoticeSchema } from "../upstreams/cold_upstreams.ts";
import { RateNoticeSchema } from "../upstreams/named_rates.ts";
import {
  GoneUpstreamSchema,
  UpstreamEntrySchema,
} from "../upstreams/upstream_table.ts";
import { EvacuationStateSchema } from "../serving/evacuated_domains.ts";
import {
  AskSchema,
  BookingSchema,
  GrantSchema,
  JobSchema,
} from "./placement_schemas.ts";
import { storeEraSchema } from "../store/store_position.ts";
import type { ConfigVersion } from "../serving/serving_config.ts";

/** Identity, addresses and state that a daemon sends to its peers. */
export const PeerCardSchema = z.object({
  vm: idSchema<VmId>(),
  /** Host and port of the datagrams between daemons. */
  peer: addressSchema,
  /** Host and port for clients. */
  front: addressSchema,
  domain: idSchema<DomainId>(),
  region: z.string(),
  /** Processor share; daemons with the largest share are preferred as leader. */
  power: z.number(),
  /** Unix time in ms of the process's start, which tells a restarted process from its predecessor. */
  startedAt: unixMsSchema,
  /** Whether the daemon accepts clients. */
  open: z.boolean(),
  /** Whether the VM is slow at present; clients use it only if too few others are open. */
  slow: z.boolean().default(false),
  /** Whether the daemon reads packed messages; absent in messages of earlier builds. */
  packed: z.boolean().default(false),
}).readonly();
/** Identity, addresses and state that a daemon sends to its peers. */
export type PeerCard = z.infer<typeof PeerCardSchema>;

/** Offset in a topic, or position in a list; -1 for none. */
const offsetSchema = z.number().int().min(-1);

const upstream = idSchema<UpstreamId>();
const RegisterChangeSchema = z.union([
  z.object({ type: z.literal("entry"), entry: UpstreamEntrySchema }),
  z.object({
    type: z.literal("gone"),
    id: upstream,
    /** Time in ms for which the entry is kept, as it may be missing only because of an outage. */
    keptMs: millisSchema.optional(),
  }),
  // An entry that can't be used replaces one that could.
  z.object({ type: z.literal("entry"), entry: z.object({ id: upstream }) })
    .transform(({ entry }) => ({ type: "gone" as const, id: entry.id })),
]);

const StoreProgressSchema = z.object({
  /** Newest configuration version of the sender; 0 for none. */
  version: countSchema<ConfigVersion>(),
  /** Time in ms since that version was known to be the newest. */
  versionAgeMs: millisSchema,
  /** Offset up to which the sender has read the register of upstreams; -1 for none. */
  offset: offsetSchema,
  /** Age of that read in ms. */
  ageMs: millisSchema,
  /** Era of that read; absent in messages of earlier builds, and while the sender knows none. */
  era: storeEraSchema.optional(),
  /** Time in ms since that era began; absent while the sender knows of no restore. */
  eraAgeMs: millisSchema.optional(),
  /** Absent while the sender knows of no evacuation. */
  evacuations: EvacuationStateSchema.optional(),
}).readonly();
/** How far a daemon has read the platform's store. */
export type StoreProgress = z.infer<typeof StoreProgressSchema>;

/** Position of a daemon in its leader's roster. */
const RosterPositionSchema = z.object({
  epoch: z.string(),
  seq: offsetSchema,
}).readonly();

const RosterUpdateSchema = z.object({
  epoch: z.string(),
  seq: offsetSchema,
  since: offsetSchema.optional(),
  joined: soundList(PeerCardSchema),
  gone: z.array(idSchema<VmId>()).readonly(),
}).readonly();

const PeerMessageSchema = z.discriminatedUnion("type", [
  /** Shows that the sender is live and which jobs it runs; sent to the leader and the deputy at each interval. */
  z.object({
    type: z.literal("heartbeat"),
    from: PeerCardSchema,
    progress: StoreProgressSchema,
    /** Position of the sender in the receiver's roster; absent if no update is requested. */
    roster: RosterPositionSchema.optional(),
    /** Whether the sender asks for the best candidates for leader; absent if it knows its leader for some time. */
    seeks: z.boolean().optional(),
    /** Whether the sender fetches a long table by a call of its own; absent in messages of earlier builds. */
    fetches: z.boolean().optional(),
    jobs: soundList(JobSchema),
    /** Engines that the leader has found slow, with their slowdown. */
    paces: soundList(z.object({ upstream, pace: paceSchema })).optional(),
    contents: ContentSyncSchema.optional(),
    rates: soundList(RateNoticeSchema).optional(),
    cold: soundList(ColdNoticeSchema).optional(),
    /** Bookings that the leader has made since its last heartbeat to the deputy. */
    booked: soundList(BookingSchema).optional(),
  }),
  /** Answers a heartbeat. */
  z.object({
    type: z.literal("heartbeat_reply"),
    from: PeerCardSchema,
    progress: StoreProgressSchema,
    leader: idSchema<VmId>(),
    roster: RosterUpdateSchema.optional(),
    /** The best candidates for leader that the sender knows, for a daemon that seeks one. */
    candidates: soundList(PeerCardSchema).optional(),
    /** Whether the receiver has to fetch the table, which is too long for a datagram. */
    behind: z.boolean().optional(),
    entries: soundList(UpstreamEntrySchema).optional(),
    /** Those of the entries that are only kept, and for how long. */
    kept: soundList(z.object({ id: upstream, keptMs: millisSchema }))
      .optional(),
    /** Processes that are known to be gone, which a restored store may list again. */
    gone: soundList(GoneUpstreamSchema).optional(),
    contents: ContentSyncSchema.optional(),
    rates: soundList(RateNoticeSchema).optional(),
    cold: soundList(ColdNoticeSchema).optional(),
  }),
  /** Forwards register changes that were read after offset `since` of the era `sinceEra`. */
  z.object({
    type: z.literal("changes"),
    from: idSchema<VmId>(),
    progress: StoreProgressSchema,
    since: offsetSchema,
    sinceEra: storeEraSchema.optional(),
    changes: soundList(RegisterChangeSchema),
    /** Whether they come from a whole table, which may be an older copy, rather than from newer records. */
    snapshot: z.boolean().optional(),
  }),
  z.object({ type: z.literal("ask"), ask: AskSchema, reply: addressSchema }),
  /** Confirms a placement request that is queued; the grant or denial follows later. */
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
    retryAfterMs: millisSchema.optional(),
  }),
  /** Forwards that the process of an upstream announced its shutdown. */
  z.object({
    type: z.literal("leaving"),
    from: idSchema<VmId>(),
    upstream,
    /** Unix time in ms of the process's start. */
    startedAt: unixMsSchema,
  }),
  /** Forwards what the sender knows of the rates that upstreams have named, and of cold upstreams. */
  z.object({
    type: z.literal("rates"),
    notices: soundList(RateNoticeSchema),
    cold: soundList(ColdNoticeSchema).optional(),
  }),
  /** Reports messages to an upstream with a limited rate that were sent without a placement. */
  z.object({ type: z.literal("sent"), upstream, count: positiveCountSchema }),
  /** Forwards the placement of jobs to the leader and the deputy. */
  z.object({
    type: z.literal("placed"),
    job: JobSchema,
    /** Further jobs that were placed shortly before. */
    more: soundList(JobSchema).optional(),
    /** Daemon that placed them. */
    by: idSchema<VmId>().optional(),
  }),
  /** Reports the progress of a job. */
  z.object({
    type: z.literal("progress"),
    job: z.string().transform((id) => id as JobId),
    upstream,
    phase: z.enum(["started", "ended", "failed"]),
    /** Earlier builds read the phase and the content alone. */
    silence: SilenceSchema.optional().catch(undefined),
    /** Whether no connection could be made to the upstream's address. */
    unreachable: z.boolean().optional(),
    content: ContentReportSchema.optional(),
  }),
]);
/** A message between daemons. */
export type PeerMessage = z.infer<typeof PeerMessageSchema>;

/** Messages from this size on are deflated: they are lists of similar daemons or upstreams. */
const DEFLATE_MIN_BYTES = 1_024;
/** Messages from this size on are packed for daemons that read it. */
const PACK_MIN_BYTES = 64;
/** Largest decoded message; the roster of the largest system takes a tenth of it. */
const MAX_MESSAGE_BYTES = 1 << 20;
/**
 * Encodes a message as one datagram: JSON, deflated from `DEFLATE_MIN_BYTES` on. If `packed`, it is deflated with a
 * dictionary of what messages have in common.
 * Load pattern: hundreds of daemons with thousands of requests a second. Each request takes about seven messages of
 * some hundred bytes, mostly between failure domains, and most of each is field names.
 */
export function encodePeerMessage(
  message: PeerMessage,
  options: Readonly<{ packed: boolean }> = { packed: false },
): Buffer {
  return deflateJson(
    message,
    options.packed
      ? { fromBytes: PACK_MIN_BYTES, dictionary: MESSAGE_DICTIONARY }
      : { fromBytes: DEFLATE_MIN_BYTES },
  );
}

/**
 * Decodes a datagram; fails with the reason if it is not a valid message. Members of its lists that can't be used are
 * left out, and `onLeftOut` is called with the reason.
 */
export function decodePeerMessage(
  data: Buffer,
  options: Readonly<{ onLeftOut?: (detail: string) => void }> = {},
): Result<PeerMessage, string> {
  return inflateJson(data, {
    maxBytes: MAX_MESSAGE_BYTES,
    dictionary: MESSAGE_DICTIONARY,
  }).andThen((value) =>
    parseReporting(
      () => parseWith(PeerMessageSchema, value),
      options.onLeftOut ?? (() => {}),
    )
  );
}
