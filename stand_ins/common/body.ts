import { err, ok, type Result } from "neverthrow";
import { Buffer } from "node:buffer";
import type { z } from "zod";
import type { HostContext } from "./http_host.ts";

const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Reads a bounded JSON body and checks it; the error is an answer with status 400 or 413. */
export async function readJson<Schema extends z.ZodType>(
  c: HostContext,
  schema: Schema,
  options: { maxBytes: number } = { maxBytes: MAX_BODY_BYTES },
): Promise<Result<z.output<Schema>, Response>> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of c.env.incoming) {
    size += chunk.length;
    if (size > options.maxBytes) {
      return err(c.json({ detail: "The body is too large" }, 413));
    }
    chunks.push(chunk);
  }
  const parsed = schema.safeParse(parseJson(Buffer.concat(chunks).toString()));
  if (!parsed.success) {
    return err(c.json({ detail: parsed.error.message }, 400));
  }
  return ok(parsed.data);
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
