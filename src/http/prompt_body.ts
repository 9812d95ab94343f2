import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { AdapterId, ModelId, VersionId } from "../core/id.ts";
import { type Problem, problem } from "../core/problem.ts";
import { idSchema } from "../wire/brands.ts";
import type { PromptApi } from "./response_format.ts";

const DEFAULT_MAX_TOKENS = 1_024;
const MAX_MAX_TOKENS = 32_768;
const MAX_MESSAGES = 1_024;

const commonFields = {
  model: idSchema<ModelId>(),
  adapter: idSchema<AdapterId>().optional(),
  version: idSchema<VersionId>().optional(),
  stream: z.boolean().default(false),
  max_tokens: z.number().int().min(1).max(MAX_MAX_TOKENS).default(
    DEFAULT_MAX_TOKENS,
  ),
};

const ContentSchema = z.union([
  z.string(),
  z.array(z.object({ type: z.literal("text"), text: z.string() })),
]);

/** Body of `POST /v1/chat/completions`. */
export const ChatBodySchema = z.object({
  ...commonFields,
  messages: z.array(z.object({
    role: z.enum(["system", "user", "assistant", "tool", "developer"]),
    content: ContentSchema,
  })).min(1).max(MAX_MESSAGES),
});

/** Body of `POST /v1/completions`. */
export const CompletionBodySchema = z.object({
  ...commonFields,
  prompt: z.string().min(1),
});

/** Fields of a prompt's body, common to both APIs. */
export type PromptBodyFields = Readonly<{
  model: ModelId;
  adapter?: AdapterId;
  version?: VersionId;
  stream: boolean;
  maxTokens: number;
  /** The whole prompt as UTF-8. */
  prompt: Uint8Array;
}>;

/** Parses a prompt's body; refusals are `bad_request`. */
export function parsePromptBody(
  api: PromptApi,
  body: Uint8Array,
): Result<PromptBodyFields, Problem> {
  return parseJson(body).andThen((value) =>
    api === "chat" ? parseChat(value) : parseCompletion(value)
  );
}

function parseJson(body: Uint8Array): Result<unknown, Problem> {
  try {
    const text = Buffer.from(body.buffer, body.byteOffset, body.byteLength)
      .toString("utf8");
    return ok(JSON.parse(text));
  } catch (cause) {
    return err(
      problem(
        "bad_request",
        `The body is not JSON: ${(cause as Error).message}.`,
      ),
    );
  }
}

function parseChat(value: unknown): Result<PromptBodyFields, Problem> {
  const parsed = ChatBodySchema.safeParse(value);
  if (!parsed.success) return err(malformedBody(parsed.error));
  const text = parsed.data.messages.map(messageText).join("");
  return ok(toBodyFields(parsed.data, text));
}

function messageText(
  message: z.infer<typeof ChatBodySchema>["messages"][number],
): string {
  const { role, content } = message;
  const text = typeof content === "string"
    ? content
    : content.map((part) => part.text).join("");
  return `<|${role}|>\n${text}\n`;
}

function parseCompletion(value: unknown): Result<PromptBodyFields, Problem> {
  const parsed = CompletionBodySchema.safeParse(value);
  if (!parsed.success) return err(malformedBody(parsed.error));
  return ok(toBodyFields(parsed.data, parsed.data.prompt));
}

function toBodyFields(
  data: Omit<z.infer<typeof CompletionBodySchema>, "prompt">,
  text: string,
): PromptBodyFields {
  const { model, adapter, version, stream, max_tokens } = data;
  return {
    model,
    adapter,
    version,
    stream,
    maxTokens: max_tokens,
    prompt: Buffer.from(text, "utf8"),
  };
}

function malformedBody(cause: z.ZodError): Problem {
  const issues = cause.issues.map((issue) =>
    `${issue.path.join(".") || "body"}: ${issue.message}`
  );
  return problem("bad_request", issues.join("; "));
}
