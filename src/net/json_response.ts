import { err, ok, type Result } from "neverthrow";
import { Buffer } from "node:buffer";
import type { z } from "zod";
import type { HttpRes } from "./http_message.ts";

/** Parses and validates the JSON body of a response; the error is a message for logs. */
export function parseJsonResponse<Schema extends z.ZodType>(
  res: HttpRes,
  schema: Schema,
): Result<z.output<Schema>, string> {
  const parsed = schema.safeParse(parseJson(res.body));
  if (parsed.success) return ok(parsed.data);
  return err(`The response is malformed: ${parsed.error.issues[0]?.message}`);
}

function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString("utf8"));
  } catch {
    return undefined;
  }
}
