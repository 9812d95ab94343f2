import { Buffer } from "node:buffer";
import { createHmac, timingSafeEqual } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type {
  AdapterId,
  AttemptId,
  ClassId,
  ModelId,
  RequestId,
  Revision,
  TeamId,
  UpstreamId,
  VersionId,
} from "../core/id.ts";
import { type Problem, problem } from "../core/problem.ts";
import type { Timestamp } from "../core/time.ts";
import { countSchema, idSchema } from "../wire/brands.ts";

/** Claims of a resume token: all that a daemon needs to resume a stream. */
export const ResumeClaimsSchema = z.object({
  request: idSchema<RequestId>(),
  attempt: idSchema<AttemptId>(),
  upstream: idSchema<UpstreamId>(),
  team: idSchema<TeamId>(),
  classId: idSchema<ClassId>(),
  api: z.enum(["chat", "completion"]),
  model: idSchema<ModelId>(),
  version: idSchema<VersionId>(),
  adapter: idSchema<AdapterId>().optional(),
  revision: z.number().int().transform((value) => value as Revision),
  maxTokens: z.number().int().positive(),
  deadlineAt: countSchema<Timestamp>(),
  /** Seconds since the Unix epoch, as all chunks of the response repeat it; absent in tokens of older daemons. */
  createdAt: z.number().int().optional(),
}).readonly();
/** Claims of a resume token: all that a daemon needs to resume a stream. */
export type ResumeClaims = z.infer<typeof ResumeClaimsSchema>;

/** Signs claims; the token is `payload.signature`, both in base64url, with HMAC-SHA256. */
export function signResumeToken(claims: ResumeClaims, secret: string): string {
  const payload = Buffer.from(JSON.stringify(claims)).toString("base64url");
  return `${payload}.${signature(payload, secret)}`;
}

/** Verifies a token against all accepted keys; a forged or damaged token is refused. */
export function verifyResumeToken(
  token: string,
  secrets: readonly string[],
): Result<ResumeClaims, Problem> {
  const [payload = "", signed = ""] = token.split(".", 2);
  const found = Buffer.from(signed);
  const isGenuine = secrets.some((secret) =>
    isEqual(found, Buffer.from(signature(payload, secret)))
  );
  if (!isGenuine) {
    return err(problem("unauthorized", "The resume token is not genuine."));
  }
  const parsed = ResumeClaimsSchema.safeParse(
    JSON.parse(Buffer.from(payload, "base64url").toString()),
  );
  return parsed.success
    ? ok(parsed.data)
    : err(problem("bad_request", "The resume token is from another version."));
}

function isEqual(a: Buffer, b: Buffer): boolean {
  return a.length === b.length && timingSafeEqual(a, b);
}

function signature(payload: string, secret: string): string {
  return createHmac("sha256", secret).update(`resume\n${payload}`).digest(
    "base64url",
  );
}
