import { err, ok, type Result } from "neverthrow";
import { headerValues } from "./header_syntax.ts";

/** How the end of a body is found. */
export type Framing =
  | Readonly<{ kind: "none" | "chunked" | "close" }>
  | Readonly<{ kind: "length"; bytes: number }>;

/** More digits would not fit a safe integer. */
const LENGTH = /^[0-9]{1,15}$/;
const CHUNKED = "chunked";
const BODYLESS_STATUSES = new Set([204, 304]);

/** What a head says of its body, by RFC 9112, 6.3; ambiguous framing is an error, as recipients may differ on it. */
function declaredFraming(
  rawHeaders: readonly string[],
): Result<Framing | undefined, string> {
  const lengths = headerValues(rawHeaders, "content-length");
  const codings = headerValues(rawHeaders, "transfer-encoding");
  if (codings.length > 0) {
    if (lengths.length > 0) return err("A length beside a transfer coding");
    const [coding] = codings;
    if (codings.length > 1 || coding?.toLowerCase() !== CHUNKED) {
      return err("A transfer coding other than chunked");
    }
    return ok({ kind: "chunked" });
  }
  const [length] = lengths;
  if (length === undefined) return ok(undefined);
  if (lengths.length > 1 || !LENGTH.test(length)) {
    return err("The length is invalid");
  }
  return ok({ kind: "length", bytes: Number(length) });
}

/** Framing of a response to a request of the given method. */
export function responseFraming(
  method: string,
  status: number,
  rawHeaders: readonly string[],
): Result<Framing, string> {
  return declaredFraming(rawHeaders).map((declared) => {
    const isBodyless = method === "HEAD" || BODYLESS_STATUSES.has(status);
    return isBodyless ? { kind: "none" } : declared ?? { kind: "close" };
  });
}

/** Why the framing of a request's body is ambiguous; undefined if it isn't. */
export function requestFramingError(
  rawHeaders: readonly string[],
): string | undefined {
  return declaredFraming(rawHeaders).match(() => undefined, (error) => error);
}
