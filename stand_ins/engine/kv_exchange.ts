import { Buffer } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { request } from "undici";
import type { PlanId } from "../../src/core/id.ts";
import {
  type GenerateHead,
  KvExportLineSchema,
  type KvInfo,
  KvInfoSchema,
} from "../../src/wire/engine.ts";

const PEER_MS = 2_000;
const MAX_LINE_BYTES = 4_096;

type Segment = NonNullable<GenerateHead["segment"]>;

/** Asks another engine what it holds of a plan, and renews that. */
export async function renewKvInfo(
  address: string,
  plan: PlanId,
): Promise<KvInfo | undefined> {
  try {
    const url = `http://${address}/v1/kv/${
      encodeURIComponent(plan)
    }?renew=true`;
    const res = await request(url, { signal: AbortSignal.timeout(PEER_MS) });
    const parsed = KvInfoSchema.safeParse(await res.body.json());
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** Whether the plan's other engines still hold what comes before a segment. */
export async function peersHold(segment: Segment): Promise<boolean> {
  const checks = (segment.peers ?? []).map(async ({ address, from, to }) => {
    const info = await renewKvInfo(address, segment.plan);
    return info?.segments.some((held) =>
      held.from === from && held.to === to
    ) ?? false;
  });
  return (await Promise.all(checks)).every(Boolean);
}

/** A copy of another engine's KV cache that is under way. */
export type KvFetch = Readonly<
  { tokens: number; finished: Promise<Result<void, string>>; abort: () => void }
>;

/** Starts to copy a plan's KV cache from another engine. */
export async function fetchKv(
  address: string,
  plan: PlanId,
): Promise<Result<KvFetch, string>> {
  const url = `http://${address}/v1/kv/${encodeURIComponent(plan)}/export`;
  const abort = new AbortController();
  try {
    const res = await request(url, { signal: abort.signal, bodyTimeout: 0 });
    if (res.statusCode !== 200) {
      await res.body.dump();
      return err(`${address} answers ${res.statusCode}`);
    }
    const lines = readLines(res.body)[Symbol.asyncIterator]();
    const head = KvExportLineSchema.safeParse((await lines.next()).value);
    if (!head.success || head.data.type !== "head") {
      return err(`${address} sends no head`);
    }
    return ok({
      tokens: head.data.tokens,
      finished: readEnd(lines),
      abort: () => abort.abort(),
    });
  } catch (cause) {
    return err((cause as Error).message);
  }
}

async function readEnd(
  lines: AsyncIterator<unknown>,
): Promise<Result<void, string>> {
  try {
    const end = KvExportLineSchema.safeParse((await lines.next()).value);
    return end.success && end.data.type === "end"
      ? ok()
      : err("The export broke off");
  } catch (cause) {
    return err((cause as Error).message);
  }
}

async function* readLines(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<unknown, void, undefined> {
  let text = "";
  for await (const chunk of body) {
    text += Buffer.from(chunk).toString();
    const lines = text.split("\n");
    text = lines.pop()!;
    if (text.length > MAX_LINE_BYTES) return;
    for (const line of lines) yield JSON.parse(line);
  }
}
