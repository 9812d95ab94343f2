import type { Branded } from "./brand.ts";

/** One request; the id stays the same on every daemon that handles it. */
export type RequestId = Branded<string, "RequestId">;
/** One attempt of a request at one upstream. */
export type AttemptId = Branded<string, "AttemptId">;
/** One run of a daemon process; a restarted daemon has a new one. */
export type DaemonId = Branded<string, "DaemonId">;
/** One entry VM, as the VM list names it. */
export type VmId = Branded<string, "VmId">;
/** One upstream: a model engine or one instance of a plain service. */
export type UpstreamId = Branded<string, "UpstreamId">;
/** One run of an upstream process, as the upstream reports it. */
export type Incarnation = Branded<string, "Incarnation">;
/** A failure domain. */
export type DomainId = Branded<string, "DomainId">;
/** A team. */
export type TeamId = Branded<string, "TeamId">;
/** A request class of the serving configuration. */
export type ClassId = Branded<string, "ClassId">;
/** A model. */
export type ModelId = Branded<string, "ModelId">;
/** An adapter of a model. */
export type AdapterId = Branded<string, "AdapterId">;
/** A version of a model or adapter. */
export type VersionId = Branded<string, "VersionId">;
/** A plain service. */
export type ServiceId = Branded<string, "ServiceId">;
/** A group of engines that one lease holder gives orders to. */
export type GroupId = Branded<string, "GroupId">;
/** A stream of the platform's log service. */
export type StreamName = Branded<string, "StreamName">;
/** A record's random id; duplicates of a record are ignored by this id. */
export type RecordId = Branded<string, "RecordId">;
/** An `Idempotency-Key`. */
export type IdempotencyKey = Branded<string, "IdempotencyKey">;
/** A plan that spreads one prompt over several engines. */
export type PlanId = Branded<string, "PlanId">;
/** One part of a prompt that several requests may share, as the client names it. */
export type PromptPartId = Branded<string, "PromptPartId">;
/** A lowercase hexadecimal digest. */
export type Digest = Branded<string, "Digest">;

/** A record's position in its stream, from 0. */
export type Offset = Branded<number, "Offset">;
/** The offset of the record that put a configuration in force; -1 for none. */
export type Revision = Branded<number, "Revision">;
/** The offset of the record that granted a lease. */
export type FencingNumber = Branded<number, "FencingNumber">;

/** The revision of a daemon that has not read any configuration yet. */
export const NO_REVISION = -1 as Revision;
